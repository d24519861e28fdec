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

    private final AdapterScheduler scheduler = new AdapterScheduler();
    private final List<String> replies = new ArrayList<>();

    @Test
    void loadsWhatIsAskedForAndAnswersOnceItIsThere() {
        addCall(1, "a1");
        EngineControl.Order order = nextOrder(report(false), Set.of()).orElseThrow();
        assertTrue(order.load());
        assertEquals(Optional.of("a1"), order.adapter());
        replyToWaiters(report(false, "a1"));
        assertEquals(List.of("1 true"), replies);
        assertFalse(scheduler.hasWaiters());
    }

    // All places are taken, one by an adapter that a request uses. Dropping that one would make the engine wait for the
    // request and refuse others meanwhile, so the idle one goes.
    @Test
    void anIdleAdapterMakesWay() {
        addCall(1, "a9");
        EngineControl.Order order =
                nextOrder(report(false, "a1", "a2"), Set.of("m/a1")).orElseThrow();
        assertFalse(order.load());
        assertEquals(Optional.of("a2"), order.adapter());
    }

    @Test
    void nothingIsOrderedWhileAllAdaptersAreInUse() {
        addCall(1, "a9");
        assertEquals(Optional.empty(), nextOrder(report(false, "a1", "a2"), Set.of("m/a1", "m/a2")));
    }

    // While the engine loads a model it takes no order for an adapter, for seconds. The caller is told at once and asks
    // another engine; without the answer its request would wait until it is late.
    @Test
    void refusesAtOnceWhileTheEngineCarriesOutAnOrder() {
        addCall(1, "a1");
        replyToWaiters(report(true));
        assertEquals(List.of("1 false"), replies);
    }

    @Test
    void refusesForAModelThatIsNotThere() {
        scheduler.addCall(ENTRY, new AdapterCall(2, "other", "a1"), 0);
        replyToWaiters(report(false));
        assertEquals(List.of("2 false"), replies);
    }

    private void addCall(long id, String adapter) {
        scheduler.addCall(ENTRY, new AdapterCall(id, "m", adapter), 0);
    }

    private Optional<EngineControl.Order> nextOrder(EngineReport report, Set<String> inUse) {
        return scheduler.nextOrder(ENGINE, report, inUse, 10);
    }

    private void replyToWaiters(EngineReport report) {
        scheduler.replyToWaiters(report, (entry, id, present) -> replies.add(id + " " + present));
    }

    private static EngineReport report(boolean ordering, String... adapters) {
        ReplicaRecord.ResidentModel model = new ReplicaRecord.ResidentModel("m", List.of(adapters));
        return new EngineReport(0, 3, ordering, 0, 0, 0, 0, List.of(model), Set.of(), Set.of(), Set.of(), false);
    }
}
