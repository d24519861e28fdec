import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Another writer puts an entry into the list of replicas that names no replica. Afterwards a replica reports that it is
 * draining, serves on for a while, and its entry is removed; another replica registers itself.
 */
final class ForeignRow {

    private static final long DRAIN_MILLIS = 2_000;
    private static final long SEND_INTERVAL_MILLIS = 10;
    private static final List<String> ENTRIES = List.of("127.0.0.11", "127.0.0.12");

    private static final String ROW_KEY = "a-17";

    /** The service is not one of the manifest, and the port is none. */
    private static final String ROW =
            "{\"service\":\"label-printer\",\"address\":\"127.0.0.99:80800\",\"zone\":\"mid-a\",\"version\":\"3\","
                    + "\"slots\":1,\"state\":\"ready\",\"seq\":1}";

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
            List<Replica> replicas = new ArrayList<>();
            for (int number = 1; number <= 4; number++) {
                replicas.add(new Replica("i-desk" + number, "desk", "127.0.0.2" + number, port, 6, 30, recorder));
            }
            for (int number = 1; number <= 3; number++) {
                store.put("servers", "i-desk" + number, replicas.get(number - 1).row());
            }
            store.put("op", "config", manifest());
            Process last = null;
            for (String host : ENTRIES) {
                last = deployment.startEntry("front-" + host, host, true);
            }
            for (String host : ENTRIES) {
                deployment.awaitReady(host);
            }
            ConcurrentLinkedQueue<Client.Answer> answers = startClients(deployment, recorder);
            Threads.sleep(3_000);
            if (trouble) {
                store.put("servers", ROW_KEY, ROW);
                recorder.say("another writer puts servers/%s: %s", ROW_KEY, ROW);
            }
            Threads.sleep(4_000);
            store.put("servers", "i-desk1", replicas.get(0).leave());
            long drainingMillis = recorder.nowMillis();
            recorder.say("i-desk1 is draining, acknowledged");
            store.put("servers", "i-desk4", replicas.get(3).row());
            recorder.say("i-desk4 is ready, acknowledged");
            Threads.sleep(6_000);
            replicas.get(0).exit();
            store.remove("servers", "i-desk1");
            recorder.say("the entry of i-desk1 is removed");
            Threads.sleep(3_000);
            int result = judge(new ArrayList<>(answers), recorder, drainingMillis);
            restart(deployment, last, answers, recorder);
            for (String host : ENTRIES) {
                deployment.log("front-" + host)
                        .lines()
                        .filter(line -> !line.contains("forward: ended"))
                        .forEach(line -> recorder.add("log %s %s", host, line));
            }
            return result;
        }
    }

    /** Restarts one entry as planned work. This is not judged; it shows what an entry knows that starts beside the row. */
    private static void restart(
            Deployment deployment, Process entry, ConcurrentLinkedQueue<Client.Answer> answers, Recorder recorder)
            throws Exception {
        String host = ENTRIES.get(ENTRIES.size() - 1);
        entry.destroy();
        entry.waitFor();
        deployment.startEntry("front-" + host, host, false);
        deployment.awaitReady(host);
        long readyMillis = recorder.nowMillis();
        Threads.sleep(5_000);
        String prefix = host.substring(host.length() - 2);
        List<Client.Answer> after = answers.stream()
                .filter(answer -> answer.id().startsWith(prefix) && answer.sentMillis() > readyMillis)
                .toList();
        recorder.say("not judged: the entry %s has restarted and says that it is ready; of %d requests it served %d",
                host, after.size(), after.stream().filter(answer -> answer.status() == 200).count());
    }

    private static ConcurrentLinkedQueue<Client.Answer> startClients(Deployment deployment, Recorder recorder) {
        ConcurrentLinkedQueue<Client.Answer> answers = new ConcurrentLinkedQueue<>();
        for (String host : ENTRIES) {
            for (int copy = 0; copy < 8; copy++) {
                Client client = new Client(deployment.front(host), recorder);
                String name = host.substring(host.length() - 2) + copy;
                Threads.start("client", () -> {
                    for (int number = 1; true; number++) {
                        String id = name + "%05x".formatted(number);
                        answers.add(client.send("POST", "/sign/" + number, id, 4_000, Map.of()));
                        Threads.sleep(SEND_INTERVAL_MILLIS);
                    }
                });
            }
        }
        return answers;
    }

    private static int judge(List<Client.Answer> answers, Recorder recorder, long drainingMillis) {
        int judged = 0;
        int broken = 0;
        int atNew = 0;
        int lost = 0;
        long firstMillis = 0;
        long lastMillis = 0;
        for (Client.Answer answer : answers) {
            if (answer.sentMillis() <= drainingMillis + DRAIN_MILLIS) {
                continue;
            }
            judged++;
            if ("i-desk1".equals(Replica.replicas.get(answer.id()))) {
                firstMillis = broken == 0 ? answer.sentMillis() : firstMillis;
                lastMillis = answer.sentMillis();
                broken++;
            }
            lost += "i-desk1".equals(Replica.replicas.get(answer.id())) && answer.status() != 200 ? 1 : 0;
            atNew += "i-desk4".equals(Replica.replicas.get(answer.id())) ? 1 : 0;
        }
        recorder.say("sent later than %d ms after the acknowledgement: %d, run by i-desk1: %d, by i-desk4: %d",
                DRAIN_MILLIS, judged, broken, atNew);
        if (broken > 0) {
            recorder.say("BROKEN requests reached i-desk1 from %d to %d ms after the acknowledgement, %d ran without an answer",
                    firstMillis - drainingMillis, lastMillis - drainingMillis, lost);
        }
        return judged == 0 ? 2 : broken > 0 ? 1 : 0;
    }

    private static String manifest() {
        return """
                {"version":1,"routes":[{"name":"r-sign","host":"desk.example","prefix":"/sign/","kind":"unsafe",
                "timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1}],
                "services":[{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
                "idle_timeout_ms":15000}}
                """;
    }
}
