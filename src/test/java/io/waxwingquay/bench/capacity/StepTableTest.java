package io.waxwingquay.bench.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class StepTableTest {

    @Test
    void fitsCostsOnALineWithoutError() {
        LeastSquares line = StepTable.measure("bytes", "sides", List.of(1, 2, 5), size -> 7 + 3 * size)
                .fittedLine();
        assertEquals(3, line.slope(), 1e-9);
        assertEquals(7, line.intercept(), 1e-9);
        assertEquals(0, line.slopeStandardError(), 1e-9);
        assertEquals(307, line.costAt(100), 1e-9);
    }

    @Test
    void reportsErrorsForAStepOffTheLine() {
        LeastSquares line = StepTable.measure("bytes", "sides", List.of(1, 2, 3), size -> size == 2 ? 20 : 10)
                .fittedLine();
        assertEquals(0, line.slope(), 1e-9);
        assertEquals(1 / 3.0, line.maxRelativeError(), 1e-9);
        assertTrue(line.slopeStandardError() > 1);
    }

    // Guards the figures of docs/CAPACITY.md: in a simulation that lost changes or ignored a partition, the measured
    // traffic and delays of gossip would be wrong.
    @Test
    void changeReachesEveryProcessButNotAcrossAPartition() {
        GossipSimulation simulation = GossipSimulation.withAllRecords(24, 1);
        simulation.partition(3);
        simulation.publish(0, 2, 1);
        assertEquals(60_000, simulation.millisUntilAllHave(0, 2));
        simulation.partition(0);
        assertTrue(simulation.millisUntilAllHave(0, 2) < 60_000);
        assertTrue(simulation.millisToSpreadBundle() < 60_000);
    }
}
