package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.testing.Await;
import io.waxwingquay.transport.generated.AdapterCall;
import io.waxwingquay.transport.generated.EntryNews;
import io.waxwingquay.transport.generated.ModelDemand;
import io.waxwingquay.transport.generated.PeerDatagram;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EngineManagerTest {

    private static final HostPort ADDRESS = new HostPort("10.0.0.9", 80);
    private static final HostPort ENTRY = new HostPort("10.0.0.1", 7380);
    private static final int MODEL_ROOM = 2;
    private static final int ADAPTER_SLOTS = 2;
    private static final Set<String> MODELS = Set.of("m", "late", "busy", "other");

    /** More reports than come while a model is announced and loaded. */
    private static final long REPORTS_OF_ONE_MOVE = 20L;

    private static final long REPORTS_WITHOUT_ORDER = 3L;

    private final LateOrderEngine engine = new LateOrderEngine(MODEL_ROOM, ADAPTER_SLOTS, MODELS);
    private final List<EventLoop> loops = new ArrayList<>();
    private long updateNumber;

    @AfterEach
    void stop() {
        loops.forEach(EventLoop::close);
    }

    // Guards against an adapter order that got no answer and is executed by the next incarnation of the engine, whose
    // adapter slots are all occupied by then.
    @Test
    void lateAdapterOrderOfAnEarlierIncarnationFindsAFreeSlot() throws Exception {
        engine.begin(4, "m");
        Driver manager = startManager();
        engine.stopAnswering();
        requestUntil(manager, "late", () -> engine.unansweredOrders() > 0);
        awaitQuiet();
        engine.begin(2, "m");
        requestUntil(manager, "a1", () -> engine.holds("m", "a1"));
        requestUntil(manager, "a2", () -> engine.holds("m", "a2"));
        assertFalse(engine.wasOvercommitted());
    }

    // Guards against evicting a model that only an unanswered order may still load: nothing is unloaded for it, and the
    // model loaded in its place occupies the memory that the late order needs.
    @Test
    void lateModelOrderOfAnEarlierIncarnationFindsFreeMemory() throws Exception {
        engine.begin(2);
        Driver manager = startManager();
        engine.stopAnswering();
        demandUntil(manager, Map.of("late", 5.0), () -> engine.unansweredOrders() > 0);
        engine.begin(0);
        Map<String, Double> demand = Map.of("busy", 50.0, "other", 20.0);
        demandUntil(manager, demand, () -> engine.holds("busy"));
        long before = engine.reports();
        demandUntil(manager, demand, () -> engine.reports() > before + REPORTS_OF_ONE_MOVE);
        assertFalse(engine.wasOvercommitted());
    }

    // Guards against an order that got no answer from one incarnation of the engine and is executed by the next, when
    // the process that issued it has ended as well and its successor knows nothing of it.
    @Test
    void lateOrderOfAnEndedProcessDoesNotReachTheNextIncarnation() throws Exception {
        engine.begin(4, "m");
        Driver ended = startManager();
        Await.until(engine::isIdentified);
        engine.stopAnswering();
        requestUntil(ended, "late", () -> engine.unansweredOrders() > 0);
        loops.remove(0).close();
        engine.begin(2, "m");
        engine.rename("i-2");
        Driver successor = startManager();
        requestUntil(successor, "a1", () -> engine.holds("m", "a1"));
        requestUntil(successor, "a2", () -> engine.holds("m", "a2"));
        assertFalse(engine.wasOvercommitted());
    }

    // Guards against a request for a slot whose adapter is never loaded, as the places hold adapters that are not
    // needed.
    @Test
    void adaptersOfRequestsForSlotsReplaceEachOther() throws Exception {
        engine.begin(2, "m");
        EngineManager manager = startEngineManager();
        for (int number = 1; number <= 2 * ADAPTER_SLOTS; number++) {
            String adapter = "a" + number;
            prepareUntil(manager, List.of(adapter), () -> engine.holds("m", adapter));
        }
        assertFalse(engine.wasOvercommitted());
    }

    // Guards against an order that is refused, as it follows a report that was made before the last order and arrives
    // after it: it delays the adapter of a waiting request.
    @Test
    void nothingIsOrderedByAReportFromBeforeTheLastOrder() throws Exception {
        engine.begin(2, "m");
        EngineManager manager = startEngineManager();
        Await.until(engine::isIdentified);
        long reports = engine.reports();
        engine.holdReports();
        Await.until(() -> engine.reports() > reports);
        prepareUntil(manager, List.of("a1", "a2"), () -> engine.holds("m", "a1"));
        engine.releaseReports();
        prepareUntil(manager, List.of("a1", "a2"), () -> engine.holds("m", "a2"));
        assertEquals(0, engine.conflicts());
    }

    private void prepareUntil(EngineManager manager, List<String> adapters, Await.Condition condition)
            throws Exception {
        Await.until(() -> {
            loops.get(0)
                    .execute(() -> adapters.forEach(
                            adapter -> manager.adapterGate().prepare("m", adapter, EventLoop.nowMillis())));
            return condition.holds();
        });
    }

    /** Waits until no more orders come, as the call for the adapter has timed out. */
    private void awaitQuiet() throws Exception {
        int before;
        do {
            before = engine.unansweredOrders();
            long reports = engine.reports();
            Await.until(() -> engine.reports() > reports + REPORTS_WITHOUT_ORDER);
        } while (engine.unansweredOrders() != before);
    }

    private void requestUntil(Driver manager, String adapter, Await.Condition condition) throws Exception {
        Await.until(() -> {
            manager.receive(PeerDatagram.adapterCall(new AdapterCall(1, "m", adapter)));
            return condition.holds();
        });
    }

    private void demandUntil(Driver manager, Map<String, Double> perSecond, Await.Condition condition)
            throws Exception {
        Map<String, ModelDemand> demand = perSecond.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, each -> new ModelDemand(each.getValue(), each.getValue(), 1.0)));
        Await.until(() -> {
            EntryNews update = new EntryNews(
                    "entry", ++updateNumber, demand, List.of(), List.of(ADDRESS.toString()), 0L, List.of());
            manager.receive(PeerDatagram.entry(update));
            return condition.holds();
        });
    }

    private Driver startManager() {
        EngineManager manager = startEngineManager();
        EventLoop loop = loops.get(loops.size() - 1);
        return datagram -> loop.execute(() -> manager.onDatagram(ENTRY, datagram));
    }

    private EngineManager startEngineManager() {
        EventLoop loop = EventLoop.start("manager");
        loops.add(loop);
        engine.answerOn(loop);
        EngineManager manager =
                new EngineManager(loop, ADDRESS, "engines", engine, new NoPeers(), new WeightLoadLimiter(5_000, 1.1));
        loop.execute(() -> {
            manager.configure(Optional.of(specification()));
            manager.start();
        });
        return manager;
    }

    private static Engine specification() {
        List<Engine.Model> models = Stream.concat(MODELS.stream(), Stream.of("absent"))
                .map(name -> new Engine.Model(name, 100, 100, 100, 100, 0.1))
                .toList();
        return new Engine(8, 1_000, MODEL_ROOM * 100 + 1, ADAPTER_SLOTS, 100, models);
    }

    @FunctionalInterface
    private interface Driver {

        void receive(PeerDatagram datagram);
    }

    private static final class NoPeers implements EngineManager.Sender {

        @Override
        public void send(HostPort target, PeerDatagram datagram) {}

        @Override
        public void send(Set<HostPort> targets, PeerDatagram datagram) {}

        @Override
        public HostPort sideAddress(HostPort engine) {
            return engine;
        }
    }
}
