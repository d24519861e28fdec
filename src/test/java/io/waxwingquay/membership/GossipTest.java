package io.waxwingquay.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.suspect.SuspectBook.Standing;
import io.waxwingquay.transport.generated.SideState;
import java.util.List;
import org.junit.jupiter.api.Test;

class GossipTest {

    private static final int NODES = 200;
    private static final int LIMIT_STEPS = 400;
    private static final int BUNDLE_STEPS = (int) (3_000 / GossipWorld.STEP_MILLIS);
    private static final double BUDGET_BYTES_PER_SECOND = 9_000;

    private final GossipWorld world = GossipWorld.ofAcquainted(NODES, 20261202);

    @Test
    void aBundleVersionIsEverywhereWithinThreeSecondsOfSteps() {
        world.node(0).bundleVersion = 2;
        int steps = world.stepsUntilAll(node -> node.bundleVersion == 2, LIMIT_STEPS);
        print("bundle version at all", steps);
        assertTrue(steps <= BUNDLE_STEPS, "steps: " + steps);
    }

    @Test
    void aLeavingSideIsKnownEverywhereWithinThreeSecondsOfSteps() {
        world.node(5).table.noteLeaving(GossipWorld.name(7), 1);
        int steps = world.stepsUntilAll(node -> stateOf(node, 7) == SideState.LEAVING, LIMIT_STEPS);
        print("leaving known at all", steps);
        assertTrue(steps <= BUNDLE_STEPS, "steps: " + steps);
    }

    @Test
    void anOrdinaryRecordReachesAll() {
        double beforeBytes = world.sentBytes();
        world.node(3).table.publish(GossipWorld.record(3).setVersion(2));
        int steps = world.stepsUntilAll(node -> versionAt(node, 3) == 2, LIMIT_STEPS);
        print("record version at all", steps);
        System.out.printf("gossip: that record cost %.0f bytes a node%n", (world.sentBytes() - beforeBytes) / NODES);
        assertTrue(steps < LIMIT_STEPS);
    }

    @Test
    void idleRoundsStayFarWithinTheBudget() {
        double beforeBytes = world.sentBytes();
        world.steps(80);
        double bytesPerSecond = (world.sentBytes() - beforeBytes) / NODES / (80 * GossipWorld.STEP_MILLIS / 1000.0);
        System.out.printf("gossip: idle sends %.1f bytes a second a node%n", bytesPerSecond);
        assertTrue(bytesPerSecond < BUDGET_BYTES_PER_SECOND / 10, "bytes a second: " + bytesPerSecond);
    }

    @Test
    void aProcessThatKnowsOnePeerLearnsAll() {
        GossipWorld.Node joined = world.join(0);
        int steps = world.stepsUntilAll(node -> node.table.size() == NODES + 1, LIMIT_STEPS);
        print("joined process knows all and is known", steps);
        assertEquals(NODES + 1, joined.table.size());
    }

    @Test
    void suspectsRideAlong() {
        world.node(0).suspects.recordCrash("crash-1", List.of(42L));
        int steps = world.stepsUntilAll(node -> node.suspects.standing(42L) == Standing.SUSPECT, LIMIT_STEPS);
        print("suspect known at all", steps);
        assertTrue(steps < LIMIT_STEPS);
    }

    @Test
    void aSilentSideIsAvoidedButNotDropped() {
        // A switch fails and a side no longer answers; the platform's list is out as well. Callers must not be sent
        // there, yet nothing says that it is gone: it may serve others, and it comes back when the switch does.
        world.takeDown(9);
        world.steps(200);
        MemberTable table = world.node(0).table;
        table.noteReached(GossipWorld.name(9), 1, false);
        assertEquals(List.of(), table.expire());
        assertEquals(false, table.side(GossipWorld.name(9)).orElseThrow().takesWork());
    }

    private void print(String what, int steps) {
        System.out.printf("gossip: %s of %d after %d steps of 250 ms%n", what, world.size(), steps);
    }

    private static SideState stateOf(GossipWorld.Node node, int index) {
        return node.table.side(GossipWorld.name(index)).orElseThrow().state();
    }

    private static long versionAt(GossipWorld.Node node, int index) {
        return node.table.side(GossipWorld.name(index)).orElseThrow().version();
    }
}
