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

    // The caller sees its model refused for ever. The order to load it was lost on the way, and so is not
    // done; sent anew under another id, both could land, so it is sent again under the same one.
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

    // The caller sees the engine fail after a restart of the side process: an order of the predecessor lands
    // late on an engine that ignores fencing numbers. During the quarantine nothing is loaded, what is resident
    // serves at once, and the late item is adopted and makes room before the wanted one is loaded.
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

    // The caller sees nothing, as it should: an eviction is taken and never done. The wanted model is not
    // loaded beside the one that is still there, however long that lasts.
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

    // The caller sees the only replica of its model go. A rollout wants a larger version and the accelerator is
    // full; the old one is the last replica, so the rollout is refused here and reported.
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

    // The caller sees its answer cut because its model was evicted under it. The model is no longer wanted
    // here, but a request uses it, so it stays until that has ended.
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

    // The caller sees the engine fail: two sides order for one target. The first was paused, a second took
    // over, the first comes back and believes that it still owns the memory. It must not order again.
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

    // As before, but the news of the successor is late: no gossip has come in when the process resumes.
    // The gap in its own loop holds its orders back until a quarantine has passed.
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

    // Where fences are enforced the engine itself tells the replaced side, which then leaves.
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

    // The caller sees the engine fail: a stranger's order overfilled it. Nothing refuses that on an engine that
    // ignores fences; it is mended at the next report by evicting what is not wanted.
    @Test
    void evictsSurplusOfForeignOrder() {
        try (SideFixture fixture = new SideFixture()) {
            fixture.start(1L).tickAndCompleteOrders();
            fixture.engine.deliver(new Order("stranger", OrderKind.LOAD, MODEL_B, 60L, 0L));
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
            // The submission has woken the order loop, whose round a tick may join instead of starting its own.
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
