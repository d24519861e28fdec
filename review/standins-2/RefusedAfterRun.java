import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One replica of three fails part of its requests while its health check is good: it runs them and then answers 503
 * without Not-Executed. Clients honour a 503 as the promise that nothing ran, and send the sign-off again.
 */
final class RefusedAfterRun {

    private static final String HOST = "127.0.0.1";
    private static final int SIGN_OFFS = 400;
    private static final int CLIENTS = 10;
    private static final double FAILED_SHARE = 0.4;

    private final Set<String> ranAttempts = ConcurrentHashMap.newKeySet();
    private final Map<String, AtomicInteger> runsBySignOff = new ConcurrentHashMap<>();
    private final java.util.Random random = new java.util.Random(7);
    private final AtomicInteger refusedThoughRun = new AtomicInteger();

    private RefusedAfterRun() {}

    public static void main(String[] arguments) {
        Rig.run(arguments[0], () -> new RefusedAfterRun().isBroken());
    }

    private boolean isBroken() throws Exception {
        Store store = new Store(HOST);
        for (String id : new String[] {"i-1", "i-2", "i-3"}) {
            Replica replica = new Replica(id, HOST, this::sign);
            store.put("servers", id, replica.row("batch-desk", "ready"));
        }
        store.put("op", "config", manifest());
        int ports = Rig.freePorts(4, HOST);
        int front = Rig.freePort(HOST);
        int ready = Rig.freePort(HOST);
        Rig.start("entry", "entry", Rig.settings("front-z-1", "entry", HOST, ports, store.address(), "", "",
                "front = \"" + HOST + ":" + front + "\"\nready = \"" + HOST + ":" + ready + "\""));
        Rig.awaitReady(HOST, ready);
        Thread.sleep(3_500);
        Thread[] clients = new Thread[CLIENTS];
        for (int client = 0; client < CLIENTS; client++) {
            int first = client;
            clients[client] = new Thread(() -> {
                for (int number = first; number < SIGN_OFFS; number += CLIENTS) {
                    signOff(front, "release-" + number);
                }
            });
            clients[client].start();
        }
        for (Thread client : clients) {
            client.join();
        }
        long twice = runsBySignOff.values().stream().filter(runs -> runs.get() > 1).count();
        Rig.record("sign-offs " + SIGN_OFFS + ", attempts answered 503 that had run " + refusedThoughRun
                + ", sign-offs that were signed more than once " + twice);
        return refusedThoughRun.get() > 0;
    }

    private void sign(Replica replica, Http.Channel channel, Http.Message request)
            throws IOException, InterruptedException {
        String attempt = request.field("Attempt-Id");
        ranAttempts.add(attempt);
        runsBySignOff.computeIfAbsent(request.text(), key -> new AtomicInteger()).incrementAndGet();
        Thread.sleep(60);
        boolean fails;
        synchronized (random) {
            fails = Rig.isTroubled() && replica.id.equals("i-1") && random.nextDouble() < FAILED_SHARE;
        }
        Rig.record(replica.id + " ran " + attempt + " (" + request.text() + "), answers " + (fails ? 503 : 200));
        channel.write(Http.answer(fails ? 503 : 200, Replica.sealed(request), fails ? "failed" : "signed"));
    }

    /** Sends a sign-off as a client does: again, under a new Attempt-Id, after the promise that it has not run. */
    private void signOff(int port, String release) {
        for (int attempt = 1; attempt <= 2; attempt++) {
            String id = release + "-" + attempt;
            try (Http.Channel channel = Http.Channel.open(HOST, port, 4_000)) {
                channel.write(Http.head("POST /sign/1 HTTP/1.1", "Host: x.example", "Attempt-Id: " + id,
                        "Deadline-Remaining: 4000", "Content-Length: " + release.length()) + release);
                Http.Message answer = Http.read(channel.in);
                boolean hasRun = ranAttempts.contains(id);
                Rig.record("attempt " + id + " answered " + answer.status() + ", has run: " + hasRun);
                if (answer.status() != 503) {
                    return;
                }
                refusedThoughRun.addAndGet(hasRun ? 1 : 0);
            } catch (IOException failure) {
                Rig.record("attempt " + id + " failed: " + failure);
                return;
            }
            java.util.concurrent.locks.LockSupport.parkNanos(200_000_000L);
        }
    }

    private static String manifest() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"x.example\",\"prefix\":\"/sign/\","
                + "\"kind\":\"unsafe\",\"timeout_ms\":4000,\"target_latency_ms\":386,\"priority\":1,"
                + "\"service\":\"batch-desk\",\"max_attempts\":2}],"
                + "\"services\":[{\"name\":\"batch-desk\",\"health_path\":\"/healthz\",\"max_conns\":110}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }
}
