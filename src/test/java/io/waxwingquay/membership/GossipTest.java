package io.waxwingquay.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.suspect.SuspectRegistry.Standing;
import io.waxwingquay.transport.generated.GossipRequest;
import io.waxwingquay.transport.generated.SideState;
import java.util.List;
import org.junit.jupiter.api.Test;

class GossipTest {

    private static final int NODE_COUNT = 200;
    private static final long TEST_LIMIT_MILLIS = 100_000;
    private static final long URGENT_SPREAD_MILLIS = 3_000;
    private static final long IDLE_PERIOD_MILLIS = 20_000;
    private static final double BUDGET_BYTES_PER_SECOND = 9_000;

    private final GossipSimulation simulation = GossipSimulation.fullyConnected(NODE_COUNT, 20261202);

    // A process that does not know of a new bundle keeps serving by the previous one.
    @Test
    void bundleVersionReachesAllWithinThreeSecondsOfSimulatedTime() {
        double beforeBytes = simulation.sentBytes();
        simulation.node(0).bundleVersion = 2;
        long tookMillis = simulation.millisUntilAll(node -> node.bundleVersion == 2, TEST_LIMIT_MILLIS);
        print("bundle version reached all", tookMillis);
        simulation.advance(20_000 - tookMillis);
        System.out.printf(
                "gossip: 20 s with one new bundle sent %.0f bytes per node%n",
                (simulation.sentBytes() - beforeBytes) / NODE_COUNT);
        assertTrue(tookMillis <= URGENT_SPREAD_MILLIS, "took ms: " + tookMillis);
    }

    // A process that does not know that a side is leaving keeps sending it new work.
    @Test
    void leavingSideIsKnownToAllWithinThreeSecondsOfSimulatedTime() {
        simulation.node(5).table.noteLeaving(GossipSimulation.name(7), 1);
        long tookMillis = simulation.millisUntilAll(node -> stateOf(node, 7) == SideState.LEAVING, TEST_LIMIT_MILLIS);
        print("leaving side known to all", tookMillis);
        assertTrue(tookMillis <= URGENT_SPREAD_MILLIS, "took ms: " + tookMillis);
    }

    // A process that misses a record keeps routing and placing by the previous one.
    @Test
    void ordinaryRecordReachesAll() {
        double beforeBytes = simulation.sentBytes();
        simulation.node(3).table.publish(GossipSimulation.record(3).setVersion(2));
        long tookMillis = simulation.millisUntilAll(node -> versionAt(node, 3) == 2, TEST_LIMIT_MILLIS);
        print("record version reached all", tookMillis);
        System.out.printf(
                "gossip: that record cost %.0f bytes per node%n", (simulation.sentBytes() - beforeBytes) / NODE_COUNT);
        assertTrue(tookMillis < TEST_LIMIT_MILLIS);
    }

    @Test
    void comparisonRepairsRecordsThatRumoursMissed() {
        // Two calls in three are lost while a record changes, so its few pushes reach only some processes. Without the
        // comparison of hashes the others would place and route by the stale record permanently.
        simulation.setLossProbability(0.67);
        simulation.node(3).table.publish(GossipSimulation.record(3).setVersion(2));
        simulation.advance(5_000);
        simulation.setLossProbability(0);
        long tookMillis = simulation.millisUntilAll(node -> versionAt(node, 3) == 2, TEST_LIMIT_MILLIS);
        print("record version reached all, after 5 s in which two calls in three were lost,", tookMillis);
        assertTrue(tookMillis < TEST_LIMIT_MILLIS);
    }

    // A request without its fields must neither fail the handler nor enter the table.
    @Test
    void malformedRequestIsAnsweredAndChangesNothing() {
        long beforeHash = simulation.node(0).table.combinedHash();
        simulation.node(0).gossip.handler().answer(new GossipRequest());
        assertEquals(beforeHash, simulation.node(0).table.combinedHash());
    }

    // The traffic of idle rounds leaves no budget for changes if it is not kept small.
    @Test
    void idleRoundsUseLessThanATenthOfTheBudget() {
        double beforeBytes = simulation.sentBytes();
        simulation.advance(IDLE_PERIOD_MILLIS);
        double bytesPerSecond = (simulation.sentBytes() - beforeBytes) / NODE_COUNT / (IDLE_PERIOD_MILLIS / 1000.0);
        System.out.printf("gossip: idle rounds send %.1f bytes per second per node%n", bytesPerSecond);
        assertTrue(bytesPerSecond < BUDGET_BYTES_PER_SECOND / 10, "bytes per second: " + bytesPerSecond);
    }

    // A new process knows only a seed. It must learn all sides and become known to them without the platform's list.
    @Test
    void processThatKnowsOnePeerLearnsAllSides() {
        GossipSimulation.Node joined = simulation.join(0);
        long tookMillis = simulation.millisUntilAll(node -> node.table.size() == NODE_COUNT + 1, TEST_LIMIT_MILLIS);
        print("joined process knows all and is known to all", tookMillis);
        assertEquals(NODE_COUNT + 1, joined.table.size());
    }

    // An entry that does not know a suspect may send it to another target and crash that one too.
    @Test
    void suspectsAreDisseminatedWithSideRecords() {
        simulation.node(0).suspects.recordCrash("crash-1", List.of(42L));
        long tookMillis =
                simulation.millisUntilAll(node -> node.suspects.standing(42L) == Standing.SUSPECT, TEST_LIMIT_MILLIS);
        print("suspect known to all", tookMillis);
        assertTrue(tookMillis < TEST_LIMIT_MILLIS);
    }

    @Test
    void unresponsiveSideIsAvoidedButNotExpired() {
        // A switch fails and a side no longer answers, while the platform's list is unavailable too. Requests must not
        // be routed to the side, but it may still serve others and return with the switch, so it must not expire.
        simulation.takeDown(9);
        simulation.advance(50_000);
        MemberTable table = simulation.node(0).table;
        table.noteReached(GossipSimulation.name(9), 1, false);
        assertEquals(List.of(), table.expire());
        assertEquals(false, table.side(GossipSimulation.name(9)).orElseThrow().acceptsWork());
    }

    private void print(String what, long tookMillis) {
        System.out.printf("gossip: %s (%d nodes) after %d ms of simulated time%n", what, simulation.size(), tookMillis);
    }

    private static SideState stateOf(GossipSimulation.Node node, int index) {
        return node.table.side(GossipSimulation.name(index)).orElseThrow().state();
    }

    private static long versionAt(GossipSimulation.Node node, int index) {
        return node.table.side(GossipSimulation.name(index)).orElseThrow().version();
    }
}
