import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry starts and reads a list of replicas of more than one page; between two pages a replica reports that it is
 * draining. The entry does not learn of it.
 */
final class PagedList {

    private static final String HOST = "127.0.0.1";
    private static final long DRAIN_MILLIS = 2_000;
    private static final long STABLE_MILLIS = 3_000;
    private static final int OTHER_REPLICAS = 620;
    private static final int CLIENTS = 6;

    private final AtomicBoolean drains = new AtomicBoolean();
    private final AtomicInteger late = new AtomicInteger();
    private volatile long drainingMillis = Long.MAX_VALUE / 2;
    private volatile long lastLateMillis = -1;

    private PagedList() {}

    public static void main(String[] arguments) {
        Rig.run(arguments[0], () -> new PagedList().isBroken());
    }

    private boolean isBroken() throws Exception {
        Store store = new Store(HOST);
        Replica leaving = new Replica("a-1", HOST, this::answer);
        Replica staying = new Replica("a-2", HOST, this::answer);
        store.put("servers", leaving.id, row(leaving, "ready"));
        store.put("servers", staying.id, row(staying, "ready"));
        for (int number = 0; number < OTHER_REPLICAS; number++) {
            store.put("servers", String.format("i-%04d", number), "{\"service\":\"log-readers\",\"address\":\"127.0."
                    + (1 + number / 200) + "." + (1 + number % 200) + ":9\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":64,"
                    + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1,\"born\":1700000000000}");
        }
        store.put("op", "config", manifest());
        store.hook = (channel, call) -> {
            if (call != null && call.target().startsWith("/rows-get?table=servers")) {
                Rig.record("store: " + call.target());
                if (call.target().contains("&from=") && Rig.isTroubled() && drains.compareAndSet(false, true)) {
                    drain(store, leaving);
                }
            }
            return true;
        };
        int ports = Rig.freePorts(4, HOST);
        int front = Rig.freePort(HOST);
        int ready = Rig.freePort(HOST);
        Rig.start("entry", "entry", Rig.settings("front-z-1", "entry", HOST, ports, store.address(), "", "",
                "front = \"" + HOST + ":" + front + "\"\nready = \"" + HOST + ":" + ready + "\""));
        Rig.awaitReady(HOST, ready);
        Thread.sleep(STABLE_MILLIS + 500);
        if (drains.compareAndSet(false, true)) {
            drain(store, leaving);
        }
        long endMillis = Rig.millis() + 8_000;
        Thread[] clients = new Thread[CLIENTS];
        for (int client = 0; client < CLIENTS; client++) {
            int first = client * 1_000_000;
            clients[client] = new Thread(() -> {
                for (int number = first; Rig.millis() < endMillis; number++) {
                    ask(front, number);
                }
            });
            clients[client].start();
        }
        for (Thread client : clients) {
            client.join();
        }
        Rig.record("requests that reached the draining replica later than " + DRAIN_MILLIS
                + " ms after the acknowledgement: " + late + ", the last " + (lastLateMillis - drainingMillis)
                + " ms after it");
        return late.get() > 0;
    }

    private static String row(Replica replica, String state) {
        return replica.row("batch-desk", state).replace("\"slots\":64", "\"slots\":6");
    }

    private void drain(Store store, Replica replica) {
        store.put("servers", replica.id, row(replica, "draining"));
        drainingMillis = Rig.millis();
        Rig.record("acknowledged: replica " + replica.id + " is draining");
    }

    private void answer(Replica replica, Http.Channel channel, Http.Message request)
            throws IOException, InterruptedException {
        if (replica.id.equals("a-1") && Rig.millis() - drainingMillis > DRAIN_MILLIS) {
            late.incrementAndGet();
            lastLateMillis = Rig.millis();
        }
        Rig.record("request " + request.field("Attempt-Id") + " runs at " + replica.id);
        Thread.sleep(60);
        channel.write(Http.answer(200, Replica.sealed(request), "signed"));
    }

    private void ask(int port, int number) {
        try (Http.Channel channel = Http.Channel.open(HOST, port, 4_000)) {
            channel.write(Http.head("POST /sign/1 HTTP/1.1", "Host: x.example", "Attempt-Id: at-" + number,
                    "Deadline-Remaining: 4000", "Content-Length: 0"));
            Rig.record("request at-" + number + " answered " + Http.read(channel.in).status());
        } catch (IOException failure) {
            Rig.record("request at-" + number + " failed: " + failure);
        }
    }

    private static String manifest() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"x.example\",\"prefix\":\"/sign/\","
                + "\"kind\":\"unsafe\",\"timeout_ms\":4000,\"target_latency_ms\":386,\"priority\":1,"
                + "\"service\":\"batch-desk\",\"max_attempts\":2}],"
                + "\"services\":[{\"name\":\"batch-desk\",\"health_path\":\"/healthz\",\"max_conns\":110},"
                + "{\"name\":\"log-readers\",\"health_path\":\"/healthz\",\"max_conns\":110}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }
}
