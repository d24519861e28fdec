package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.fleet.EngineReport;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class OrderTrackerTest {

    private final CompletableFuture<EngineControl.Answer> answer = new CompletableFuture<>();
    private long nowMillis;
    private final OrderTracker orders = new OrderTracker(
            new EngineControl() {
                @Override
                public CompletableFuture<EngineReport> report() {
                    throw new UnsupportedOperationException("not used in this test");
                }

                @Override
                public CompletableFuture<String> identify() {
                    throw new UnsupportedOperationException("not used in this test");
                }

                @Override
                public CompletableFuture<Answer> issue(Order order, Optional<String> replicaId) {
                    return answer;
                }
            },
            () -> nowMillis);

    // A load order gets no answer and may be executed seconds later. If its model did not count as held, another one
    // would be ordered into the same memory, and the engine would crash with both.
    @Test
    void unansweredLoadStaysUnresolvedUntilEngineTakesAnotherOrder() {
        issue();
        assertTrue(orders.isAwaitingAnswer());
        answer.complete(EngineControl.Answer.UNKNOWN);
        assertFalse(orders.isAwaitingAnswer());
        orders.onReport(report(3), false);
        assertEquals(List.of("m"), orders.unresolvedLoads());
        orders.onReport(report(4), false);
        assertTrue(orders.unresolvedLoads().isEmpty());
    }

    // The engine crashes, restarts and counts its orders from zero, so a late order of the previous incarnation may
    // match the count again. Its model counts as held for as long as such an order may be delayed.
    @Test
    void unansweredLoadStaysUnresolvedAfterRestart() {
        issue();
        answer.complete(EngineControl.Answer.UNKNOWN);
        orders.onReport(report(0), true);
        orders.onReport(report(9), false);
        assertEquals(List.of("m"), orders.unresolvedLoads());
        nowMillis += OrderTracker.LATE_EXECUTION_MILLIS + 1;
        orders.onReport(report(9), false);
        assertTrue(orders.unresolvedLoads().isEmpty());
    }

    // Guards against memory kept free for seconds after a restart: an order that names the earlier id is never
    // executed.
    @Test
    void unansweredLoadOfAnotherIdIsVoid() {
        orders.onIdentified("i-1");
        issue();
        answer.complete(EngineControl.Answer.UNKNOWN);
        orders.onReport(report(0), true);
        assertFalse(orders.isIdentified());
        assertEquals(List.of("m"), orders.unresolvedLoads());
        orders.onIdentified("i-2");
        assertTrue(orders.unresolvedLoads().isEmpty());
    }

    // Guards against addressing all further orders to an incarnation that has ended, which refuses each of them.
    @Test
    void refusedOrderHasTheEngineIdentifiedAgain() {
        orders.onIdentified("i-1");
        issue();
        answer.complete(EngineControl.Answer.REFUSED);
        assertFalse(orders.isIdentified());
    }

    // Guards against taking an engine that keeps its id after a restart for one that refuses late orders.
    @Test
    void unansweredLoadOfTheSameIdStaysUnresolved() {
        orders.onIdentified("i-1");
        issue();
        answer.complete(EngineControl.Answer.UNKNOWN);
        orders.onReport(report(0), true);
        orders.onIdentified("i-1");
        assertEquals(List.of("m"), orders.unresolvedLoads());
    }

    @Test
    void answeredLoadIsResolved() {
        issue();
        answer.complete(EngineControl.Answer.TAKEN);
        assertTrue(orders.unresolvedLoads().isEmpty());
    }

    private void issue() {
        orders.issue(new EngineControl.Order(true, "m", Optional.empty(), 3), given -> {});
    }

    private static EngineReport report(long ordersTaken) {
        return new EngineReport(
                0, ordersTaken, false, 0, 0, 0, 0, List.of(), Set.of(), Set.of(), Set.of(), false, List.of());
    }
}
