package io.waxwingquay.side;

import static io.waxwingquay.side.SideFixture.ADAPTER;
import static io.waxwingquay.side.SideFixture.MODEL_A;
import static io.waxwingquay.side.SideFixture.MODEL_B;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.engine.ModelEngine.Order;
import io.waxwingquay.engine.ModelEngine.OrderKind;
import io.waxwingquay.testing.Await;
import io.waxwingquay.transport.generated.AttemptState;
import io.waxwingquay.transport.generated.SideState;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ResidencyLoopTest {

    // Guards against a model that is never loaded because its load order was lost. Under another ID both orders could
    // take effect, so the order is resent under the same ID.
    @Test
    void resendsLostOrderUnderSameId() {
        try (SideFixture fixture = new SideFixture()) {
            fixture.engine.losesOrders = true;
            fixture.start(1L);
            fixture.engine.losesOrders = false;
            fixture.tick();
            assertEquals(1, fixture.engine.sentOrders.size());
            passResendInterval(fixture);
            fixture.engine.completeOrders();
            fixture.engine.deliver(fixture.engine.lostOrders.get(0));
            fixture.tickAndCompleteOrders();
            assertEquals(
                    1L,
                    fixture.engine.sentOrders.stream().map(Order::id).distinct().count());
            assertEquals(60L, fixture.engine.usedBytes());
            assertTrue(fixture.node.memory().orElseThrow().isResident(MODEL_A));
        }
    }

    // Guards against an overcommit after a restart of the side process: an order of the predecessor arrives late at an
    // engine that ignores fencing numbers. During the quarantine nothing is loaded, but resident models serve at once;
    // the late item is adopted, and evicted before the wanted one is loaded.
    @Test
    void loadsNothingWhileOrdersOfPredecessorMayArrive() {
        try (SideFixture fixture = new SideFixture()) {
            Order late = new Order("old-1", OrderKind.LOAD, MODEL_B, 60L, 1L);
            fixture.start(2L, true);
            assertTrue(fixture.engine.sentOrders.isEmpty());
            fixture.engine.deliver(late);
            fixture.tickAndCompleteOrders();
            assertTrue(SideFixture.await(fixture.node.submit(SideFixture.modelCall("r", "b")))
                    .isAccepted());
            fixture.node.cancel("r");
            passQuarantine(fixture);
            fixture.tickAndCompleteOrders();
            fixture.tickAndCompleteOrders();
            assertTrue(fixture.node.memory().orElseThrow().isResident(MODEL_A));
            assertEquals(60L, fixture.engine.maxUsedBytes);
        }
    }

    // Guards against an overcommit when the engine accepts an eviction but never completes it. The wanted model is not
    // loaded while the other one is still resident, however long that takes.
    @Test
    void doesNotLoadBeforeEvictionIsConfirmed() {
        try (SideFixture fixture = new SideFixture()) {
            fixture.start(1L).tickAndCompleteOrders();
            fixture.wantedItems = List.of(MODEL_B);
            fixture.tick();
            for (int i = 0; i < 50; i++) {
                fixture.clock.advance(1_000L);
                fixture.tick();
            }
            assertTrue(fixture.engine.sentOrders.stream()
                    .allMatch(order -> order.item().equals(MODEL_A)));
            assertFalse(fixture.node.memory().orElseThrow().holdings().containsKey(MODEL_B));
        }
    }

    // Guards against the eviction of the last copy of a model. A rollout wants a larger version and the accelerator is
    // full; as the old version is the last copy, the new one is not loaded here but reported as unplaceable.
    @Test
    void reportsRolloutThatWouldEvictLastCopyAsUnplaceable() {
        try (SideFixture fixture = new SideFixture()) {
            fixture.start(1L).tickAndCompleteOrders();
            fixture.wantedItems = List.of(MODEL_B);
            fixture.protectedItems = Set.of(MODEL_A);
            fixture.tickAndCompleteOrders();
            assertEquals(List.of(MODEL_B), fixture.node.unplaceableItems());
            fixture.protectedItems = Set.of();
            fixture.tickAndCompleteOrders();
            fixture.tickAndCompleteOrders();
            assertTrue(fixture.node.memory().orElseThrow().isResident(MODEL_B));
            assertEquals(60L, fixture.engine.maxUsedBytes);
        }
    }

    // Guards against an answer that breaks because its model is evicted while in use. The model is no longer wanted
    // here, but stays until the request that uses it has ended.
    @Test
    void doesNotEvictModelInUse() {
        try (SideFixture fixture = new SideFixture()) {
            fixture.start(1L).tickAndCompleteOrders();
            SideFixture.await(fixture.node.submit(SideFixture.modelCall("r", "a")));
            fixture.wantedItems = List.of(MODEL_B);
            fixture.tickAndCompleteOrders();
            assertTrue(fixture.node.memory().orElseThrow().isResident(MODEL_A));
            fixture.engine.streams.get(0).finish(0L);
            fixture.tickAndCompleteOrders();
            fixture.tickAndCompleteOrders();
            assertTrue(fixture.node.memory().orElseThrow().isResident(MODEL_B));
        }
    }

    // Guards against an overcommit by two sides that order for one target. The first was paused, a second took over,
    // and the first resumes in the belief that it still owns the memory. It must not send any further order.
    @Test
    void stepsDownAfterPauseWhenReplaced() {
        try (SideFixture fixture = new SideFixture()) {
            fixture.start(1L).tickAndCompleteOrders();
            int before = fixture.engine.sentOrders.size();
            fixture.wantedItems = List.of(MODEL_B);
            fixture.membership.add("side-1", 2L);
            fixture.clock.advance(fixture.limits.pauseLimitMillis());
            fixture.tick();
            passQuarantine(fixture);
            fixture.tick();
            assertEquals(before, fixture.engine.sentOrders.size());
            assertEquals(SideState.LEAVING, fixture.node.state());
        }
    }

    // Guards against the same overcommit when the status update of the successor has not arrived by the time the
    // process resumes. The gap in its own loop delays its loads until a quarantine period has passed.
    @Test
    void delaysLoadsAfterPauseUntilQuarantineEnds() {
        try (SideFixture fixture = new SideFixture()) {
            fixture.freePermits = 0;
            fixture.start(1L);
            fixture.freePermits = 1;
            fixture.clock.advance(fixture.limits.pauseLimitMillis() + 1L);
            fixture.tick();
            fixture.tick();
            assertTrue(fixture.engine.sentOrders.isEmpty());
            passQuarantine(fixture);
            fixture.tick();
            assertEquals(1, fixture.engine.sentOrders.size());
        }
    }

    // Guards against a replaced side that keeps resending orders to an engine that enforces fences: the stale fence
    // tells the side that it was replaced, and it leaves.
    @Test
    void stepsDownOnStaleFence() {
        try (SideFixture fixture = new SideFixture()) {
            fixture.engine.fenced = true;
            fixture.engine.highestFence = 2L;
            fixture.start(1L);
            assertEquals(SideState.LEAVING, fixture.node.state());
            fixture.tick();
            passResendInterval(fixture);
            assertEquals(1, fixture.engine.sentOrders.size());
        }
    }

    // Guards against an engine that fails requests because an order that this side did not send overcommitted its
    // memory. An engine that ignores fences accepts such an order; the next report reveals it, and an unwanted item is
    // evicted.
    @Test
    void evictsSurplusOfForeignOrder() {
        try (SideFixture fixture = new SideFixture()) {
            fixture.start(1L).tickAndCompleteOrders();
            fixture.engine.deliver(new Order("foreign", OrderKind.LOAD, MODEL_B, 60L, 0L));
            fixture.engine.completeOrders();
            fixture.tickAndCompleteOrders();
            assertEquals(Set.of(MODEL_A), fixture.engine.residentBytesByItem.keySet());
            assertEquals(
                    1.0,
                    fixture.meters.get("waxwingquay.side.overcommits").counter().count());
        }
    }

    @Test
    void loadsAdapterForWaitingRequest() throws Exception {
        try (SideFixture fixture = new SideFixture()) {
            fixture.start(1L).tickAndCompleteOrders();
            var call = SideFixture.modelCall("r", "a");
            call.getModel().setAdapter("x");
            assertTrue(SideFixture.await(fixture.node.submit(call)).isAccepted());
            assertEquals(AttemptState.QUEUED, fixture.poll("r", 0L).getState());
            // The submission has triggered the order loop; a tick may join that run instead of starting its own.
            Await.until(() -> fixture.tickAndCompleteOrders().poll("r", 0L).getState() == AttemptState.RUNNING);
            assertTrue(fixture.engine.residentBytesByItem.containsKey(ADAPTER));
            assertTrue(fixture.node.memory().orElseThrow().pinned().contains(ADAPTER));
        }
    }

    private static void passResendInterval(SideFixture fixture) {
        fixture.clock.advance(fixture.limits.resendIntervalMillis() / 2L);
        fixture.tick();
        fixture.clock.advance(fixture.limits.resendIntervalMillis() / 2L);
        fixture.tick();
    }

    private static void passQuarantine(SideFixture fixture) {
        long stepMillis = fixture.limits.pauseLimitMillis() - 2L;
        for (long passed = 0L; passed <= fixture.limits.quarantineMillis(); passed += stepMillis) {
            fixture.clock.advance(stepMillis);
            fixture.tick();
        }
    }
}
