package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.transport.generated.AdapterCall;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class AdapterSchedulerTest {

    private static final HostPort ENTRY = new HostPort("10.0.0.1", 7380);
    private static final Engine ENGINE = new Engine(8, 1_000, 200, 2, 1, List.of());

    private final AdapterScheduler scheduler =
            new AdapterScheduler(new AdapterPlaces(nowMillis -> Optional.empty(), () -> {}));
    private final List<String> replies = new ArrayList<>();

    @Test
    void loadsRequestedAdapterAndRepliesOnceLoaded() {
        addCall(1, "a1");
        EngineControl.Order order = nextOrder(report(false), Set.of()).orElseThrow();
        assertTrue(order.load());
        assertEquals(Optional.of("a1"), order.adapter());
        replyToWaiters(report(false, "a1"));
        assertEquals(List.of("1 true"), replies);
        assertFalse(scheduler.hasWaiters());
    }

    // Guards against memory that grows with the calls for an engine that was lost for good and is not ordered anything.
    @Test
    void forgetsOldCallsOfALostEngine() {
        addCall(1, "a1");
        scheduler.addCall(ENTRY, new AdapterCall(2, "m", "a2"), 60_000);
        replyToWaiters(report(false, "a1", "a2"));
        assertEquals(List.of("2 true"), replies);
    }

    // Guards against evicting an adapter in use: the engine would wait for its request and refuse others meanwhile.
    @Test
    void evictsIdleAdapterForRequestedOne() {
        addCall(1, "a9");
        EngineControl.Order order =
                nextOrder(report(false, "a1", "a2"), Set.of("m/a1")).orElseThrow();
        assertFalse(order.load());
        assertEquals(Optional.of("a2"), order.adapter());
    }

    @Test
    void ordersNothingWhileAllAdaptersAreInUse() {
        addCall(1, "a9");
        assertEquals(Optional.empty(), nextOrder(report(false, "a1", "a2"), Set.of("m/a1", "m/a2")));
    }

    // Guards against evicting one adapter after the other while all slots are reserved and nothing can be loaded.
    @Test
    void evictsNothingWhileAllSlotsAreReserved() {
        addCall(1, "a9");
        assertEquals(Optional.empty(), nextOrder(report(false, "a1", "a2"), 2, Set.of()));
        assertFalse(
                nextOrder(report(false, "a1", "a2"), 1, Set.of()).orElseThrow().load());
    }

    // An engine that is loading a model accepts no adapter order for seconds. Without an immediate reply the caller
    // would wait until its request is late instead of asking another engine.
    @Test
    void rejectsAtOnceWhileEngineExecutesOrder() {
        addCall(1, "a1");
        replyToWaiters(report(true));
        assertEquals(List.of("1 false"), replies);
    }

    @Test
    void rejectsForAbsentModel() {
        scheduler.addCall(ENTRY, new AdapterCall(2, "other", "a1"), 0);
        replyToWaiters(report(false));
        assertEquals(List.of("2 false"), replies);
    }

    private void addCall(long id, String adapter) {
        scheduler.addCall(ENTRY, new AdapterCall(id, "m", adapter), 0);
    }

    private Optional<EngineControl.Order> nextOrder(EngineReport report, Set<String> inUse) {
        return nextOrder(report, 0, inUse);
    }

    private Optional<EngineControl.Order> nextOrder(EngineReport report, int reservedSlots, Set<String> inUse) {
        return scheduler.nextOrder(ENGINE, report, reservedSlots, inUse, 10);
    }

    private void replyToWaiters(EngineReport report) {
        scheduler.replyToWaiters(report, (entry, id, present) -> replies.add(id + " " + present));
    }

    private static EngineReport report(boolean ordering, String... adapters) {
        ReplicaRecord.ResidentModel model = new ReplicaRecord.ResidentModel("m", List.of(adapters));
        return new EngineReport(
                0, 3, ordering, 0, 0, 0, 0, List.of(model), Set.of(), Set.of(), Set.of(), false, List.of());
    }
}
