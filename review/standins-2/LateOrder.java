import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A load order gets no answer and is carried out within twelve seconds. Meanwhile its machine loses power: the engine
 * starts again under its id, and the side process beside it knows nothing of the order.
 */
final class LateOrder {

    private static final String ENTRY = "127.0.0.1";
    private static final String SIDE = "127.0.0.2";
    private static final long LATE_MILLIS = 11_500;

    private final AtomicReference<Engine.Order> keptBack = new AtomicReference<>();
    private volatile String[] demand = {};
    private volatile long keptBackMillis;

    private LateOrder() {}

    public static void main(String[] arguments) {
        Rig.run(arguments[0], () -> new LateOrder().isBroken());
    }

    private boolean isBroken() throws Exception {
        Store store = new Store(ENTRY);
        store.put("op", "config", manifest());
        Engine engine = new Engine("i-7f3a91c2", "readers", SIDE, store, "ma", "mc", "md");
        int ports = Rig.freePorts(4, ENTRY, SIDE);
        int front = Rig.freePort(ENTRY);
        int ready = Rig.freePort(ENTRY);
        String sideSettings = Rig.settings("side-z-1", "side", SIDE, ports, store.address(),
                "\"" + ENTRY + ":" + ports + "\"", "app = \"" + engine.address() + "\"\nservice = \"readers\"", "");
        Process side = Rig.start("side", "side-1", sideSettings);
        Rig.start("entry", "entry", Rig.settings("front-z-1", "entry", ENTRY, ports, store.address(), "", "",
                "front = \"" + ENTRY + ":" + front + "\"\nready = \"" + ENTRY + ":" + ready + "\""));
        Rig.awaitReady(ENTRY, ready);
        startClients(front);
        // The side process settles: the engine holds ma, mc and md, and two adapters are loaded.
        demand = new String[] {"ma", "mc"};
        Thread.sleep(3_500);
        demand = new String[] {"ma/a1", "mc"};
        await(() -> engine.accepted() >= 1);
        demand = new String[] {"ma/a2", "mc"};
        await(() -> engine.accepted() >= 2);
        Rig.record("adapters are loaded, held " + engine.held());
        engine.late = (worker, order) -> Rig.isTroubled() && isOrderForMb(order);
        // Demand moves to mb; nobody asks for md.
        demand = new String[] {"ma", "mc", "mb", "mb"};
        if (!Rig.isTroubled()) {
            await(() -> engine.held().contains("mb"));
            demand = new String[] {"ma", "mc", "md", "md", "md"};
            Thread.sleep(15_000);
            return engine.overloaded;
        }
        await(() -> keptBack.get() != null);
        Thread.sleep(400);
        demand = new String[] {};
        side.destroyForcibly().waitFor();
        Rig.record("side process killed");
        engine.powerOff();
        Thread.sleep(1_500);
        engine.restart();
        Rig.start("side", "side-2", sideSettings);
        demand = new String[] {"ma", "mc", "md", "md", "md"};
        Thread.sleep(Math.max(0, keptBackMillis + LATE_MILLIS - Rig.millis()));
        Rig.record("the engine holds " + engine.held() + " after " + engine.accepted() + " orders, busy "
                + engine.isBusy() + "; the late order arrives");
        int status = engine.carryOut(keptBack.get());
        Rig.record("late order " + keptBack.get() + " carried out " + (Rig.millis() - keptBackMillis)
                + " ms after it was sent -> " + status);
        return engine.overloaded;
    }

    /** Keeps back the first load of mb; the same order sent again meanwhile is kept back too. */
    private boolean isOrderForMb(Engine.Order order) {
        if (!order.op().equals("load") || !order.model().equals("mb")) {
            return false;
        }
        if (keptBack.compareAndSet(null, order)) {
            keptBackMillis = Rig.millis();
        }
        return true;
    }

    private interface Condition {
        boolean holds();
    }

    private static void await(Condition condition) throws Exception {
        for (int check = 0; check < 400; check++) {
            if (condition.holds()) {
                return;
            }
            Thread.sleep(50);
        }
        throw new IOException("the state that the case begins with was not reached");
    }

    private void startClients(int port) {
        for (int client = 0; client < 8; client++) {
            int number = client;
            Rig.daemon("client", () -> {
                for (int request = 0; ; request++) {
                    String[] models = demand;
                    if (models.length > 0) {
                        ask(port, number + "-" + request, models[(request + number) % models.length]);
                    }
                    Thread.sleep(100);
                }
            });
        }
    }

    private static void ask(int port, String id, String model) {
        try (Http.Channel channel = Http.Channel.open(ENTRY, port, 3_000)) {
            channel.write(Http.head("POST /s/1 HTTP/1.1", "Host: x.example", "Attempt-Id: " + id, "Model: " + model,
                    "Token-Counts: 100,20", "Prompt-Prefix: 5c1e07a2:60,91bd3f06:40", "Deadline-Remaining: 2000",
                    "Content-Length: 0"));
            Http.read(channel.in);
        } catch (IOException failure) {
            // The request was not served.
        }
    }

    private static String manifest() {
        List<String> models = new ArrayList<>();
        for (String name : List.of("ma", "mb", "mc", "md")) {
            models.add("{\"name\":\"" + name + "\",\"weights_mb\":72700.0,\"load_s\":6.4,\"adapters\":8,"
                    + "\"adapter_mb\":66.0,\"warm_s\":0.6,\"disk_s\":1.3}");
        }
        return "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"x.example\",\"prefix\":\"/s/\","
                + "\"kind\":\"streaming\",\"timeout_ms\":12000,\"target_latency_ms\":300,\"priority\":1,"
                + "\"service\":\"readers\",\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":150}],"
                + "\"services\":[{\"name\":\"readers\",\"health_path\":\"/healthz\",\"max_conns\":370,\"engine\":{"
                + "\"slots\":64,\"kv_tokens\":155395,\"weights_mb\":230000.0,\"adapter_slots\":8,\"loads_per_s\":1.2,"
                + "\"models\":[" + String.join(",", models) + "]}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000}}";
    }
}
