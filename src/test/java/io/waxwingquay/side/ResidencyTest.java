package io.waxwingquay.side;

import static io.waxwingquay.side.SideBench.ADAPTER;
import static io.waxwingquay.side.SideBench.MODEL_A;
import static io.waxwingquay.side.SideBench.MODEL_B;
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

class ResidencyTest {

    // The caller sees its model refused for ever. The order to load it was lost on the way, and so is not
    // done; sent anew under another id, both could land, so it is sent again under the same one.
    @Test
    void sendsALostOrderAgainUnderTheSameId() {
        try (SideBench bench = new SideBench()) {
            bench.engine.losesOrders = true;
            bench.start(1L);
            bench.engine.losesOrders = false;
            bench.tick();
            assertEquals(1, bench.engine.sent.size());
            resendTime(bench);
            bench.engine.work();
            bench.engine.land(bench.engine.lost.get(0));
            bench.settle();
            assertEquals(
                    1L, bench.engine.sent.stream().map(Order::id).distinct().count());
            assertEquals(60L, bench.engine.usedBytes());
            assertTrue(bench.node.memory().orElseThrow().isResident(MODEL_A));
        }
    }

    // The caller sees the engine fail after a restart of the side process: an order of the predecessor lands
    // late on an engine that ignores fencing numbers. During the quarantine nothing is loaded, what is resident
    // serves at once, and the late item is adopted and makes room before the wanted one is loaded.
    @Test
    void loadsNothingWhileOrdersOfItsPredecessorMayLand() {
        try (SideBench bench = new SideBench()) {
            Order late = new Order("old-1", OrderKind.LOAD, MODEL_B, 60L, 1L);
            bench.start(2L, true);
            assertTrue(bench.engine.sent.isEmpty());
            bench.engine.land(late);
            bench.settle();
            assertTrue(SideBench.await(bench.node.submit(SideBench.modelCall("r", "b")))
                    .isAccepted());
            bench.node.cancel("r");
            quarantine(bench);
            bench.settle();
            bench.settle();
            assertTrue(bench.node.memory().orElseThrow().isResident(MODEL_A));
            assertEquals(60L, bench.engine.worstBytes);
        }
    }

    // The caller sees nothing, as it should: an eviction is taken and never done. The wanted model is not
    // loaded beside the one that is still there, however long that lasts.
    @Test
    void doesNotLoadBesideAnEvictionThatIsNotConfirmed() {
        try (SideBench bench = new SideBench()) {
            bench.start(1L).settle();
            bench.wanted = List.of(MODEL_B);
            bench.tick();
            for (int i = 0; i < 50; i++) {
                bench.clock.advance(1_000L);
                bench.tick();
            }
            assertTrue(bench.engine.sent.stream().allMatch(order -> order.item().equals(MODEL_A)));
            assertFalse(bench.node.memory().orElseThrow().holdings().containsKey(MODEL_B));
        }
    }

    // The caller sees the only replica of its model go. A rollout wants a larger version and the accelerator is
    // full; the old one is the last replica, so the rollout is refused here and reported.
    @Test
    void refusesARolloutThatWouldEvictTheLastReplica() {
        try (SideBench bench = new SideBench()) {
            bench.start(1L).settle();
            bench.wanted = List.of(MODEL_B);
            bench.protectedItems = Set.of(MODEL_A);
            bench.settle();
            assertEquals(List.of(MODEL_B), bench.node.unplaceableItems());
            bench.protectedItems = Set.of();
            bench.settle();
            bench.settle();
            assertTrue(bench.node.memory().orElseThrow().isResident(MODEL_B));
            assertEquals(60L, bench.engine.worstBytes);
        }
    }

    // The caller sees its answer cut because its model was evicted under it. The model is no longer wanted
    // here, but a request uses it, so it stays until that has ended.
    @Test
    void evictsNothingThatARequestUses() {
        try (SideBench bench = new SideBench()) {
            bench.start(1L).settle();
            SideBench.await(bench.node.submit(SideBench.modelCall("r", "a")));
            bench.wanted = List.of(MODEL_B);
            bench.settle();
            assertTrue(bench.node.memory().orElseThrow().isResident(MODEL_A));
            bench.engine.streams.get(0).finish(0L);
            bench.settle();
            bench.settle();
            assertTrue(bench.node.memory().orElseThrow().isResident(MODEL_B));
        }
    }

    // The caller sees the engine fail: two sides order for one target. The first was paused, a second took
    // over, the first comes back and believes that it still owns the memory. It must not order again.
    @Test
    void stepsDownWhenItResumesAfterBeingReplaced() {
        try (SideBench bench = new SideBench()) {
            bench.start(1L).settle();
            int before = bench.engine.sent.size();
            bench.wanted = List.of(MODEL_B);
            bench.sides.add("side-1", 2L);
            bench.clock.advance(bench.limits.pauseLimitMillis());
            bench.tick();
            quarantine(bench);
            bench.tick();
            assertEquals(before, bench.engine.sent.size());
            assertEquals(SideState.LEAVING, bench.node.state());
        }
    }

    // As before, but the news of the successor is late: no gossip has come in when the process resumes.
    // The gap in its own loop holds its orders back until a quarantine has passed.
    @Test
    void holdsLoadsBackAfterAPauseBeforeItHearsOfItsSuccessor() {
        try (SideBench bench = new SideBench()) {
            bench.freePermits = 0;
            bench.start(1L);
            bench.freePermits = 1;
            bench.clock.advance(bench.limits.pauseLimitMillis() + 1L);
            bench.tick();
            bench.tick();
            assertTrue(bench.engine.sent.isEmpty());
            quarantine(bench);
            bench.tick();
            assertEquals(1, bench.engine.sent.size());
        }
    }

    // Where fences are enforced the engine itself tells the replaced side, which then leaves.
    @Test
    void stepsDownOnAStaleFence() {
        try (SideBench bench = new SideBench()) {
            bench.engine.fenced = true;
            bench.engine.highestFence = 2L;
            bench.start(1L);
            assertEquals(SideState.LEAVING, bench.node.state());
            bench.tick();
            resendTime(bench);
            assertEquals(1, bench.engine.sent.size());
        }
    }

    // The caller sees the engine fail: a stranger's order overfilled it. Nothing refuses that on an engine that
    // ignores fences; it is mended at the next report by evicting what is not wanted.
    @Test
    void evictsTheSurplusOfAStrangersOrderAtOnce() {
        try (SideBench bench = new SideBench()) {
            bench.start(1L).settle();
            bench.engine.land(new Order("stranger", OrderKind.LOAD, MODEL_B, 60L, 0L));
            bench.engine.work();
            bench.settle();
            assertEquals(Set.of(MODEL_A), bench.engine.memory.keySet());
            assertEquals(
                    1.0,
                    bench.meters.get("waxwingquay.side.overcommits").counter().count());
        }
    }

    @Test
    void loadsAnAdapterForTheRequestThatNeedsIt() throws Exception {
        try (SideBench bench = new SideBench()) {
            bench.start(1L).settle();
            var call = SideBench.modelCall("r", "a");
            call.getModel().setAdapter("x");
            assertTrue(SideBench.await(bench.node.submit(call)).isAccepted());
            assertEquals(AttemptState.QUEUED, bench.poll("r", 0L).getState());
            // The submission has woken the order loop, whose round a tick may join instead of starting its own.
            Await.until(() -> bench.settle().poll("r", 0L).getState() == AttemptState.RUNNING);
            assertTrue(bench.engine.memory.containsKey(ADAPTER));
            assertTrue(bench.node.memory().orElseThrow().pinned().contains(ADAPTER));
        }
    }

    private static void resendTime(SideBench bench) {
        bench.clock.advance(bench.limits.resendIntervalMillis() / 2L);
        bench.tick();
        bench.clock.advance(bench.limits.resendIntervalMillis() / 2L);
        bench.tick();
    }

    private static void quarantine(SideBench bench) {
        long stepMillis = bench.limits.pauseLimitMillis() - 2L;
        for (long passed = 0L; passed <= bench.limits.quarantineMillis(); passed += stepMillis) {
            bench.clock.advance(stepMillis);
            bench.tick();
        }
    }
}
