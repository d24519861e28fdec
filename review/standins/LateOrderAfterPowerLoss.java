import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Demand moves, so that a model replica is ordered to replace models. One of the orders gets no answer and is carried out
 * late. One second after it the machine of the replica, with the side process, loses power for a moment.
 */
final class LateOrderAfterPowerLoss {

    private static final double WEIGHTS_MB = 230_000;
    private static final double MODEL_MB = 72_700;
    private static final long STORE_LOAD_MILLIS = 6_400;
    private static final long DISK_LOAD_MILLIS = 1_300;
    private static final long LATE_MILLIS = 11_000;
    private static final long POWER_LOSS_AFTER_MILLIS = 1_000;
    private static final long DARK_MILLIS = 1_500;
    private static final long INTERVAL_MILLIS = 60;
    private static final String ENTRY = "127.0.0.11";
    private static final String SIDE = "127.0.0.21";

    private static volatile List<String> asked = List.of("m1", "m2", "m3");

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
                Deployment deployment = new Deployment(root, store.address(), List.of(ENTRY))) {
            int port = Deployment.freePorts(1);
            Engine engine = new Engine(
                    "i-engine1", "log-readers", SIDE, port, WEIGHTS_MB, MODEL_MB, STORE_LOAD_MILLIS, DISK_LOAD_MILLIS,
                    List.of("m1", "m2", "m3"), recorder, store);
            store.put("op", "config", manifest());
            Process side = deployment.startSide("side-1", SIDE, "log-readers", SIDE + ":" + port, true);
            deployment.startEntry("front-1", ENTRY, true);
            deployment.awaitReady(ENTRY);
            CountDownLatch left = new CountDownLatch(1);
            if (trouble) {
                engine.lateRule((order, seq) -> {
                    boolean isLast = seq == 3 && "load".equals(Engine.text(order, "op")) && left.getCount() > 0;
                    if (isLast) {
                        left.countDown();
                    }
                    return isLast ? LATE_MILLIS : -1;
                });
            }
            startClients(deployment, recorder);
            Threads.sleep(4_000);
            asked = List.of("m1", "m2", "m4");
            recorder.say("demand moves from m3 to m4");
            awaitModel(engine, "m4", 20_000);
            Threads.sleep(1_500);
            asked = List.of("m1", "m5", "m4");
            recorder.say("demand moves from m2 to m5");
            if (!trouble) {
                awaitModel(engine, "m5", 20_000);
                Threads.sleep(12_000);
            } else {
                if (!left.await(20, TimeUnit.SECONDS)) {
                    recorder.say("no order came that could be left unanswered");
                    return 2;
                }
                long orderedMillis = recorder.nowMillis();
                Threads.sleep(POWER_LOSS_AFTER_MILLIS);
                side.destroyForcibly().waitFor();
                engine.losePower();
                recorder.say("the machine loses power, with the replica and the side process");
                asked = List.of("m1", "m2", "m4");
                recorder.say("demand moves from m5 to m2");
                Threads.sleep(DARK_MILLIS);
                engine.restart();
                recorder.say("both begin again, the replica empty and under the same id");
                deployment.startSide("side-1", SIDE, "log-readers", SIDE + ":" + port, false);
                Threads.sleep(orderedMillis + LATE_MILLIS + 1_500 - recorder.nowMillis());
            }
            recorder.say("models at the end %s, seq %d", engine.models(), engine.seq());
            deployment.log("side-1").lines().forEach(line -> recorder.add("log side-1 %s", line));
            return engine.overcommitted.isEmpty() ? 0 : 1;
        }
    }

    private static void awaitModel(Engine engine, String model, long millis) throws Exception {
        for (long waited = 0; waited < millis && !engine.models().contains(model); waited += 50) {
            Threads.sleep(50);
        }
        if (!engine.models().contains(model)) {
            throw new IllegalStateException("model " + model + " was not loaded");
        }
    }

    private static void startClients(Deployment deployment, Recorder recorder) {
        for (int slot = 0; slot < 3; slot++) {
            for (int copy = 0; copy < 2; copy++) {
                int number = slot;
                String name = "%x%x".formatted(slot, copy);
                Threads.start("client", () -> {
                    Client client = new Client(deployment.front(ENTRY), recorder);
                    for (int count = 1; true; count++) {
                        String model = asked.get(number);
                        client.send(
                                "POST", "/cycle/" + count, name + "%06x".formatted(count), 4_000,
                                Map.of("Model", model, "Token-Counts", "500,48", "Prompt-Prefix",
                                        "a" + number + ":100," + name + Integer.toHexString(count) + ":400"));
                        Threads.sleep(INTERVAL_MILLIS);
                    }
                });
            }
        }
    }

    private static String manifest() {
        List<String> models = new ArrayList<>();
        for (int number = 1; number <= 5; number++) {
            models.add("{\"name\":\"m%d\",\"weights_mb\":72700.0,\"load_s\":6.4,\"adapters\":0,\"adapter_mb\":66.0,"
                            .formatted(number)
                    + "\"warm_s\":0.6,\"disk_s\":1.3}");
        }
        return """
                {"version":1,"routes":[{"name":"r-cycle","host":"desk.example","prefix":"/cycle/","kind":"streaming",
                "timeout_ms":12000,"target_latency_ms":300,"priority":1,"service":"log-readers","max_attempts":2,
                "sticky":true,"resumable":true,"gap_aim_ms":150}],
                "services":[{"name":"log-readers","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,
                "engine":{"slots":64,"kv_tokens":155395,"kv_token_bytes":163840,"link_mbps":740000.0,"moves":true,
                "backups":true,"stride":6,"max_count":12,"host_mb":150000.0,"disk_mb":450000.0,"pin_ms":4000.0,
                "hold_ms":2000.0,"handle_s":5.0,"models":[%s],"weights_mb":230000.0,"adapter_slots":8,
                "loads_per_s":1.2}}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
                "idle_timeout_ms":15000}}
                """
                .formatted(String.join(",", models));
    }
}
