import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many users come at once, then nobody for three seconds, then a light load. The replicas keep idle channels open for
 * 75 s, as web servers do, and state no Keep-Alive.
 */
final class FullPool {

    private static final String HOST = "127.0.0.1";
    private static final int IDLE_MILLIS = 75_000;
    private static final int USUAL = 24;
    private static final double BURST = 1.7;
    private static final long LULL_MILLIS = 3_000;
    private static final long LIGHT_MILLIS = 50_000;
    private static final long LIGHT_PAUSE_MILLIS = 50;

    private final Kind sign = new Kind("POST /sign/1", "sign");
    private final Kind lookup = new Kind("GET /lookup/1", "look");

    private FullPool() {}

    public static void main(String[] arguments) {
        Rig.run(arguments[0], () -> new FullPool().isBroken());
    }

    private boolean isBroken() throws Exception {
        Store store = new Store(HOST);
        for (String id : new String[] {"i-1", "i-2", "i-3"}) {
            Replica replica = new Replica(id, HOST, FullPool::answer);
            replica.idleMillis = IDLE_MILLIS;
            store.put("servers", id, replica.row("batch-desk", "ready"));
        }
        Replica other = new Replica("i-4", HOST, FullPool::answer);
        other.idleMillis = IDLE_MILLIS;
        store.put("servers", other.id, other.row("lookup-desk", "ready"));
        store.put("op", "config", manifest());
        int ports = Rig.freePorts(4, HOST);
        int front = Rig.freePort(HOST);
        int ready = Rig.freePort(HOST);
        Rig.start("entry", "entry", Rig.settings("front-z-1", "entry", HOST, ports, store.address(), "", "",
                "front = \"" + HOST + ":" + front + "\"\nready = \"" + HOST + ":" + ready + "\""));
        Rig.awaitReady(HOST, ready);
        Thread.sleep(3_500);
        sign.askAtOnce(front, USUAL);
        sign.askAtOnce(front, Rig.isTroubled() ? (int) (USUAL * BURST) : USUAL);
        Rig.record("nobody asks for " + LULL_MILLIS + " ms");
        Thread.sleep(LULL_MILLIS);
        long endMillis = Rig.millis() + LIGHT_MILLIS;
        while (Rig.millis() < endMillis) {
            Rig.daemon("client", () -> sign.ask(front));
            Rig.daemon("client", () -> lookup.ask(front));
            Thread.sleep(LIGHT_PAUSE_MILLIS);
        }
        Thread.sleep(4_500);
        double all = (double) (sign.served.get() + lookup.served.get()) / (sign.asked.get() + lookup.asked.get());
        Rig.record(sign + ", " + lookup + ", share served of all " + all);
        return sign.share() < all / 4 || lookup.share() < all / 4;
    }

    private static void answer(Replica replica, Http.Channel channel, Http.Message request)
            throws IOException, InterruptedException {
        Rig.record(replica.id + " runs " + request.field("Attempt-Id"));
        Thread.sleep(80);
        channel.write(Http.answer(200, Replica.sealed(request), "done"));
    }

    /** One kind of request, and how many were asked and served. */
    private static final class Kind {

        private final String line;
        private final String name;
        private final AtomicInteger asked = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();

        Kind(String line, String name) {
            this.line = line;
            this.name = name;
        }

        double share() {
            return (double) served.get() / asked.get();
        }

        void askAtOnce(int port, int count) throws InterruptedException {
            Rig.record(count + " requests at once");
            List<Thread> clients = new ArrayList<>();
            for (int client = 0; client < count; client++) {
                Thread thread = new Thread(null, () -> ask(port), "client", 128 * 1024);
                clients.add(thread);
                thread.start();
            }
            for (Thread client : clients) {
                client.join();
            }
        }

        void ask(int port) {
            String id = name + "-" + asked.incrementAndGet();
            try (Http.Channel channel = Http.Channel.open(HOST, port, 4_000)) {
                channel.write(Http.head(line + " HTTP/1.1", "Host: x.example", "Attempt-Id: " + id,
                        "Deadline-Remaining: 4000", "Content-Length: 0"));
                Http.Message answer = Http.read(channel.in);
                Rig.record(id + " answered " + answer.status() + " " + answer.text());
                served.addAndGet(answer.status() == 200 ? 1 : 0);
            } catch (IOException failure) {
                Rig.record(id + " failed: " + failure);
            }
        }

        @Override
        public String toString() {
            return name + ": " + asked + " asked, " + served + " served";
        }
    }

    private static String manifest() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"x.example\",\"prefix\":\"/sign/\","
                + "\"kind\":\"unsafe\",\"timeout_ms\":4000,\"target_latency_ms\":386,\"priority\":1,"
                + "\"service\":\"batch-desk\",\"max_attempts\":2},"
                + "{\"name\":\"r-2\",\"host\":\"x.example\",\"prefix\":\"/lookup/\","
                + "\"kind\":\"safe\",\"timeout_ms\":4000,\"target_latency_ms\":386,\"priority\":1,"
                + "\"service\":\"lookup-desk\",\"max_attempts\":2}],"
                + "\"services\":[{\"name\":\"batch-desk\",\"health_path\":\"/healthz\",\"max_conns\":110},"
                + "{\"name\":\"lookup-desk\",\"health_path\":\"/healthz\",\"max_conns\":110}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }
}
