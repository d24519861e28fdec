package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;

class WeightedPairTest {

    private static final int ENTRIES = 31;
    private static final long WARM_UP_MILLIS = 5_000;
    private static final long MEASURED_MILLIS = 30_000;

    /** Requests per second at which the slots of ten engines are used at 0.56, as measured. */
    private static final double USUAL_PER_SECOND = 67;

    // Guards against bursts at one engine: all entries choose by the same reports, and send to the engine that appears
    // least loaded.
    @Test
    void requestsArriveNearlyIndependently() {
        SelectionSimulation leastCost = run(EngineSelection.LeastCost::new, 0, USUAL_PER_SECOND);
        SelectionSimulation pair = run(WeightedPair::new, 0, USUAL_PER_SECOND);
        assertTrue(leastCost.dispersion(MEASURED_MILLIS) > 2, "least cost " + leastCost.dispersion(MEASURED_MILLIS));
        assertTrue(pair.dispersion(MEASURED_MILLIS) < 1.2, "pair " + pair.dispersion(MEASURED_MILLIS));
        assertTrue(pair.busiestOverMean() < 1.1, "busiest " + pair.busiestOverMean());
        assertTrue(pair.queued < leastCost.queued, pair.queued + " queued, " + leastCost.queued + " by least cost");
    }

    // Guards against overshooting, when engines are nearly full and each report makes entries avoid some of them.
    @Test
    void nearlyFullEnginesReceiveNoBurstsEither() {
        SelectionSimulation pair = run(WeightedPair::new, 0, 110);
        assertTrue(pair.dispersion(MEASURED_MILLIS) < 1.3, "pair " + pair.dispersion(MEASURED_MILLIS));
    }

    // Guards against bursts, or an engine that is filled or avoided, when half of the reports are lost.
    @Test
    void lostReportsCauseNoBursts() {
        SelectionSimulation pair = run(WeightedPair::new, 0.5, USUAL_PER_SECOND);
        assertTrue(pair.dispersion(MEASURED_MILLIS) < 1.3, "pair " + pair.dispersion(MEASURED_MILLIS));
        assertTrue(pair.busiestOverMean() < 1.15, "busiest " + pair.busiestOverMean());
    }

    private static SelectionSimulation run(
            BiFunction<EngineCost, Random, EngineSelection> selection, double lostShare, double perSecond) {
        SelectionSimulation simulation =
                new SelectionSimulation(ENTRIES, Collections.nCopies(10, "a"), lostShare, index -> "a", selection);
        simulation.run(WARM_UP_MILLIS, perSecond, entry -> entry, number -> Optional.empty());
        simulation.resetCounts();
        simulation.run(MEASURED_MILLIS, perSecond, entry -> entry, number -> Optional.empty());
        return simulation;
    }
}
