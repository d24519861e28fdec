import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The operator changes the manifest twice. Between the two changes the open channels to the store go silent for good, while
 * new ones work. The second change moves a route to another service.
 */
final class SilentStoreChannels {

    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final long STABLE_MILLIS = 3_000;
    private static final long SEND_INTERVAL_MILLIS = 100;
    private static final List<String> ENTRIES = List.of("127.0.0.11", "127.0.0.12");

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        Path folder = Path.of(arguments[0]);
        try (Recorder recorder = new Recorder(folder.resolve("record.txt"))) {
            result = run(Path.of(arguments[1]), recorder, trouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(result);
    }

    private static int run(Path root, Recorder recorder, boolean trouble) throws Exception {
        try (Store store = new Store(0);
                Deployment deployment = new Deployment(root, store.address(), ENTRIES)) {
            int port = Deployment.freePorts(1);
            for (int number = 1; number <= 2; number++) {
                Replica old = new Replica("i-old" + number, "desk-old", "127.0.0.2" + number, port, 6, 20, recorder);
                Replica fresh = new Replica("i-new" + number, "desk-new", "127.0.0.3" + number, port, 6, 20, recorder);
                store.put("servers", "i-old" + number, old.row());
                store.put("servers", "i-new" + number, fresh.row());
            }
            store.put("op", "config", manifest(1, "desk-old", 2_000));
            for (String host : ENTRIES) {
                deployment.startEntry("front-" + host, host, true);
            }
            for (String host : ENTRIES) {
                deployment.awaitReady(host);
            }
            List<Client.Answer> answers = startClients(deployment, recorder);
            Threads.sleep(3_000);
            store.put("op", "config", manifest(3, "desk-old", 2_200));
            recorder.say("manifest 3 acknowledged: another timeout_ms");
            Threads.sleep(500);
            long silentMillis = recorder.nowMillis();
            if (trouble) {
                recorder.say("%d open channels to the store go silent; new ones work", store.silence());
            }
            Threads.sleep(500);
            store.put("op", "config", manifest(8, "desk-new", 2_200));
            long acknowledgedMillis = recorder.nowMillis();
            recorder.say("manifest 8 acknowledged: /sign/ goes to desk-new");
            Threads.sleep(6_000);
            for (String host : ENTRIES) {
                deployment.log("front-" + host)
                        .lines()
                        .filter(line -> line.contains("configuration") || line.contains("fleet: "))
                        .forEach(line -> recorder.add("log %s %s", host, line));
            }
            return judge(answers, recorder, acknowledgedMillis, trouble ? silentMillis : Long.MIN_VALUE / 2);
        }
    }

    private static List<Client.Answer> startClients(Deployment deployment, Recorder recorder) {
        ConcurrentLinkedQueue<Client.Answer> answers = new ConcurrentLinkedQueue<>();
        List<Client.Answer> view = new java.util.AbstractList<>() {
            @Override
            public Client.Answer get(int index) {
                return new ArrayList<>(answers).get(index);
            }

            @Override
            public int size() {
                return answers.size();
            }
        };
        for (String host : ENTRIES) {
            Client client = new Client(deployment.front(host), recorder);
            Threads.start("client", () -> {
                for (int number = 1; true; number++) {
                    String id = host.substring(host.length() - 2) + "%06x".formatted(number);
                    answers.add(client.send("POST", "/sign/" + number, id, 4_000, Map.of()));
                    Threads.sleep(SEND_INTERVAL_MILLIS);
                }
            });
        }
        return view;
    }

    private static int judge(List<Client.Answer> all, Recorder recorder, long acknowledgedMillis, long silentMillis) {
        List<Client.Answer> answers = new ArrayList<>(all);
        long boundMillis = acknowledgedMillis + CONFIG_APPLY_MILLIS;
        long inTouchMillis = silentMillis + STABLE_MILLIS;
        recorder.say("the bound is over at %d, all entries are in touch from %d on", boundMillis, inTouchMillis);
        List<Client.Answer> judged = answers.stream()
                .filter(answer -> answer.sentMillis() > Math.max(boundMillis, inTouchMillis))
                .toList();
        List<Client.Answer> stale = judged.stream()
                .filter(answer -> "desk-old".equals(Replica.services.get(answer.id())))
                .toList();
        stale.forEach(answer -> recorder.say("BROKEN id=%s sent at %d, %d ms after the acknowledgement, run by desk-old",
                answer.id(), answer.sentMillis(), answer.sentMillis() - acknowledgedMillis));
        recorder.say("judged=%d run by the old service=%d", judged.size(), stale.size());
        if (judged.isEmpty()) {
            return 2;
        }
        return stale.isEmpty() ? 0 : 1;
    }

    private static String manifest(int version, String service, int timeoutMillis) {
        return """
                {"version":%d,"routes":[{"name":"r-sign","host":"desk.example","prefix":"/sign/","kind":"unsafe",
                "timeout_ms":%d,"target_latency_ms":300,"priority":2,"service":"%s","max_attempts":1}],
                "services":[{"name":"desk-old","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false},
                {"name":"desk-new","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
                "idle_timeout_ms":15000}}
                """
                .formatted(version, timeoutMillis, service);
    }
}
