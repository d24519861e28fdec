import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three replicas of a plain service sheds part of its requests while its health is good, and sends a small part
 * of its answers a second time, late: where the answer to the next request is due.
 */
final class ExtraAnswer {

    private static final String HOST = "127.0.0.1";
    private static final int CLIENTS = 36;
    private static final int REQUESTS_PER_CLIENT = 280;
    private static final int SLOTS = 6;
    private static final int QUEUE = 24;

    /** The share of its answers that the faulty replica sends a second time; the dose of the site file. */
    private static final double EXTRA_SHARE = 0.03;

    /** The share of its requests that it sheds; the dose of the site file. */
    private static final double SHED_SHARE = 0.45;

    /** Both last for five seconds at a time, as in the site file. */
    private static final long FAULTY_MILLIS = 5_000;
    private static final long PERIOD_MILLIS = 6_000;

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
    private final AtomicInteger shed = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger extras = new AtomicInteger();
    private final AtomicInteger refusedThoughRun = new AtomicInteger();
    private final Random random = new Random(11);

    private ExtraAnswer() {}

    public static void main(String[] arguments) {
        Rig.run(arguments[0], () -> new ExtraAnswer().isBroken());
    }

    private boolean isBroken() throws Exception {
        Store store = new Store(HOST);
        for (String id : new String[] {"i-1", "i-2", "i-3"}) {
            Desk desk = new Desk(Rig.isTroubled() && id.equals("i-1"));
            Replica replica = new Replica(id, HOST, desk::run);
            store.put("servers", id, replica.row("batch-desk", "ready").replace("\"slots\":64", "\"slots\":" + SLOTS));
        }
        store.put("op", "config", manifest());
        int ports = Rig.freePorts(4, HOST);
        int front = Rig.freePort(HOST);
        int ready = Rig.freePort(HOST);
        Rig.start("entry", "entry", Rig.settings("front-z-1", "entry", HOST, ports, store.address(), "", "",
                "front = \"" + HOST + ":" + front + "\"\nready = \"" + HOST + ":" + ready + "\""));
        Rig.awaitReady(HOST, ready);
        Thread.sleep(3_500);
        List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            int number = client;
            Thread thread = new Thread(null, () -> send(front, number), "client", 128 * 1024);
            clients.add(thread);
            thread.start();
        }
        for (Thread client : clients) {
            client.join();
        }
        Thread.sleep(500);
        long twice = runs.values().stream().filter(count -> count.get() > 1).count();
        Rig.record("requests " + CLIENTS * REQUESTS_PER_CLIENT + ", answered " + new java.util.TreeMap<>(statuses)
                + "; answers of replicas " + answers + ", of them shed " + shed + ", sent a second time " + extras);
        Rig.record("attempts that ran more than once " + twice + ", attempts answered 503 that ran " + refusedThoughRun);
        return twice > 0;
    }

    private void send(int port, int client) {
        for (int number = 0; number < REQUESTS_PER_CLIENT; number++) {
            String id = "at-" + client + "-" + number;
            try (Http.Channel channel = Http.Channel.open(HOST, port, 4_000)) {
                channel.write(Http.head("POST /sign/1 HTTP/1.1", "Host: x.example", "Attempt-Id: " + id,
                        "Deadline-Remaining: 4000", "Content-Length: 0"));
                int status = Http.read(channel.in).status();
                statuses.merge(Integer.toString(status), 1, Integer::sum);
                if (status == 503) {
                    Thread.sleep(20);
                    boolean hasRun = runs.containsKey(id);
                    refusedThoughRun.addAndGet(hasRun ? 1 : 0);
                    if (hasRun) {
                        Rig.record("attempt " + id + " answered 503, and has run");
                    }
                }
            } catch (IOException | InterruptedException failure) {
                statuses.merge("no answer", 1, Integer::sum);
            }
        }
    }

    /** One replica: its slots, and the answers that it sends twice. */
    private final class Desk {

        private final boolean isFaulty;
        private final AtomicInteger inside = new AtomicInteger();
        private final java.util.concurrent.Semaphore slots = new java.util.concurrent.Semaphore(SLOTS);
        private final Map<Http.Channel, String> pendingExtras = new ConcurrentHashMap<>();

        Desk(boolean isFaulty) {
            this.isFaulty = isFaulty;
        }

        private static boolean isFaultyNow() {
            return Rig.millis() % PERIOD_MILLIS < FAULTY_MILLIS;
        }

        void run(Replica replica, Http.Channel channel, Http.Message request)
                throws IOException, InterruptedException {
            String id = request.field("Attempt-Id");
            String extra = pendingExtras.remove(channel);
            if (extra != null) {
                extras.incrementAndGet();
                Rig.record(replica.id + " sends an answer again, where that to " + id + " is due: "
                        + extra.substring(0, extra.indexOf("\r\n")));
                channel.write(extra);
            }
            String answer;
            boolean sheds;
            synchronized (random) {
                sheds = isFaulty && isFaultyNow() && random.nextDouble() < SHED_SHARE;
            }
            if (inside.incrementAndGet() > SLOTS + QUEUE || sheds) {
                inside.decrementAndGet();
                shed.incrementAndGet();
                // As `fleetbench wire` prints it.
                answer = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            } else {
                slots.acquire();
                try {
                    int count = runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
                    Rig.record(replica.id + " runs " + id + (count > 1 ? ", run " + count : ""));
                    Thread.sleep(60);
                } finally {
                    slots.release();
                    inside.decrementAndGet();
                }
                answer = Http.answer(200, Replica.sealed(request), "signed");
            }
            answers.incrementAndGet();
            synchronized (random) {
                if (isFaulty && isFaultyNow() && random.nextDouble() < EXTRA_SHARE) {
                    pendingExtras.put(channel, answer);
                }
            }
            channel.write(answer);
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
