import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each model replica that begins to run it, some milliseconds after it began, when the first events of its
 * stream are out. Its client sends it again, with the same path and body.
 */
final class PoisonStream {

    private static final int ENGINES = 3;
    private static final long STABLE_MILLIS = 3_000;

    /** The first event is out 15 ms after the start of a run. With 0 the replica crashes before that. */
    private static final long CRASH_MILLIS = Long.getLong("crash.millis", 50);
    private static final long AGAIN_MILLIS = 1_500;
    private static final long PLAY_MILLIS = 30_000;
    private static final int ALLOWED = 3;
    private static final List<String> ENTRIES = List.of("127.0.0.11", "127.0.0.12");
    private static final List<Run> RUNS = new CopyOnWriteArrayList<>();
    private static final AtomicInteger SOUND = new AtomicInteger();
    private static final AtomicInteger SOUND_SERVED = new AtomicInteger();

    /** One run at a replica: the client attempt that it belongs to, and when it began. */
    private record Run(String attemptId, long atMillis) {}

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
            store.put("op", "config", manifest());
            for (int number = 1; number <= ENGINES; number++) {
                String host = "127.0.0.2" + number;
                Engine engine = new Engine(
                        "i-engine" + number, "log-readers", host, port, 230_000, 72_700, 6_400, 1_300,
                        List.of("m1", "m2"), recorder, store);
                if (trouble) {
                    engine.crashRule(request -> {
                        boolean isPoison = request.text().contains("poison");
                        if (isPoison) {
                            RUNS.add(new Run(request.field("attempt-id"), recorder.nowMillis()));
                        }
                        return isPoison ? CRASH_MILLIS : -1;
                    });
                }
                deployment.startSide("side-" + number, host, "log-readers", host + ":" + port, true);
            }
            for (String host : ENTRIES) {
                deployment.startEntry("front-" + host, host, true);
            }
            for (String host : ENTRIES) {
                deployment.awaitReady(host);
            }
            startSoundClients(deployment, recorder);
            Threads.sleep(4_000);
            long endMillis = recorder.nowMillis() + PLAY_MILLIS;
            for (int count = 1; recorder.nowMillis() < endMillis; count++) {
                Client client = new Client(deployment.front(ENTRIES.get(count % ENTRIES.size())), recorder);
                client.send("POST", "/cycle/7f", "ff%06x".formatted(count), 4_000, fields("c0:400"), "poison");
                client.close();
                Threads.sleep(AGAIN_MILLIS);
            }
            for (String host : ENTRIES) {
                deployment.log("front-" + host)
                        .lines()
                        .filter(line -> line.contains("suspect") || line.contains("id=ff"))
                        .forEach(line -> recorder.add("log %s %s", host, line));
            }
            return judge(recorder);
        }
    }

    private static int judge(Recorder recorder) {
        long afterMillis =
                RUNS.size() < 3 ? Long.MAX_VALUE : RUNS.get(2).atMillis() + CRASH_MILLIS + STABLE_MILLIS;
        long counted = RUNS.stream()
                .filter(run -> run.atMillis() > afterMillis)
                .map(Run::attemptId)
                .distinct()
                .count();
        recorder.say("the request crashed replicas %d times; retries that reached one later than %d ms after the third: %d",
                RUNS.size(), STABLE_MILLIS, counted);
        recorder.say("of %d sound requests %d were served", SOUND.get(), SOUND_SERVED.get());
        return counted > ALLOWED ? 1 : 0;
    }

    private static Map<String, String> fields(String part) {
        return Map.of("Model", "m1", "Token-Counts", "500,48", "Prompt-Prefix", "a1:100," + part);
    }

    private static void startSoundClients(Deployment deployment, Recorder recorder) {
        for (int copy = 0; copy < 4; copy++) {
            String name = "%02x".formatted(copy);
            Client client = new Client(deployment.front(ENTRIES.get(copy % ENTRIES.size())), recorder);
            Threads.start("client", () -> {
                for (int count = 1; true; count++) {
                    String id = name + "%06x".formatted(count);
                    Client.Answer answer =
                            client.send("POST", "/cycle/" + name + "/" + count, id, 4_000, fields(id + ":400"));
                    SOUND.incrementAndGet();
                    SOUND_SERVED.addAndGet(answer.status() == 200 ? 1 : 0);
                    Threads.sleep(100);
                }
            });
        }
    }

    private static String manifest() {
        return """
                {"version":1,"routes":[{"name":"r-cycle","host":"desk.example","prefix":"/cycle/","kind":"streaming",
                "timeout_ms":12000,"target_latency_ms":300,"priority":1,"service":"log-readers","max_attempts":2,
                "sticky":true,"resumable":true,"gap_aim_ms":150}],
                "services":[{"name":"log-readers","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,
                "engine":{"slots":64,"kv_tokens":155395,"kv_token_bytes":163840,"link_mbps":740000.0,"moves":true,
                "backups":true,"stride":6,"max_count":12,"host_mb":150000.0,"disk_mb":450000.0,"pin_ms":4000.0,
                "hold_ms":2000.0,"handle_s":5.0,"models":[
                {"name":"m1","weights_mb":72700.0,"load_s":6.4,"adapters":0,"adapter_mb":66.0,"warm_s":0.6,"disk_s":1.3},
                {"name":"m2","weights_mb":72700.0,"load_s":6.4,"adapters":0,"adapter_mb":66.0,"warm_s":0.6,"disk_s":1.3}],
                "weights_mb":230000.0,"adapter_slots":8,"loads_per_s":1.2}}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
                "idle_timeout_ms":15000}}
                """;
    }
}
