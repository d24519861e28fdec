package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;

class AdapterAffinityTest {

    private static final int ADAPTERS = 81;
    private static final long WARM_UP_MILLIS = 10_000;
    private static final long MEASURED_MILLIS = 30_000;
    private static final double PER_SECOND = 67;

    // Guards against adapters that evict each other, as each is sent to whichever engine appears least loaded.
    @Test
    void mostRequestsFindTheirAdapterLoaded() {
        SelectionSimulation today = run(EngineSelection.LeastCost::new, 0);
        SelectionSimulation affinity = run(AdapterAffinity::new, 0);
        double todayShare = today.loadedAtArrival / (double) today.requests;
        double share = affinity.loadedAtArrival / (double) affinity.requests;
        assertTrue(share > 0.8 && share > todayShare + 0.25, share + " loaded, by least cost " + todayShare);
        assertTrue(affinity.evictions * 2 < today.evictions, affinity.evictions + " of " + today.evictions);
        assertTrue(affinity.dispersion(MEASURED_MILLIS) < 1.3, "bursts " + affinity.dispersion(MEASURED_MILLIS));
        assertTrue(affinity.busiestOverMean() < 1.2, "busiest " + affinity.busiestOverMean());
        assertTrue(affinity.queued < today.queued, affinity.queued + " queued, by least cost " + today.queued);
    }

    // Guards against adapters that move with each lost report.
    @Test
    void lostReportsMoveFewAdapters() {
        SelectionSimulation lossy = run(AdapterAffinity::new, 0.5);
        double share = lossy.loadedAtArrival / (double) lossy.requests;
        assertTrue(share > 0.75, "loaded " + share);
    }

    // Guards against as many engines that load an adapter as there are entries that have no report yet.
    @Test
    void entriesWithoutReportsChooseTheSameEngines() {
        SelectionSimulation simulation = newSimulation(AdapterAffinity::new, 0);
        simulation.run(150, 200, entry -> entry, number -> Optional.of("hot"));
        assertTrue(simulation.requests > 20);
        assertTrue(holders(simulation, "hot") <= 2, holders(simulation, "hot") + " engines");
    }

    // Guards against an adapter that fills the engine that holds it while the others are idle.
    @Test
    void hotAdapterIsSpreadOverSeveralEngines() {
        SelectionSimulation simulation = newSimulation(AdapterAffinity::new, 0);
        IntFunction<Optional<String>> mostlyHot =
                number -> number % 10 < 6 ? Optional.of("hot") : skewed(number / 10 * 10);
        simulation.run(WARM_UP_MILLIS, PER_SECOND, entry -> entry, mostlyHot);
        simulation.resetCounts();
        simulation.run(MEASURED_MILLIS, PER_SECOND, entry -> entry, mostlyHot);
        assertTrue(holders(simulation, "hot") >= 4, holders(simulation, "hot") + " engines");
        assertTrue(simulation.busiestOverMean() < 1.3, "busiest " + simulation.busiestOverMean());
        assertTrue(simulation.queued * 20 < simulation.requests, simulation.queued + " queued");
    }

    // Guards against adapters of all engines that move when one leaves.
    @Test
    void adaptersOfAnEngineThatLeavesMoveAndTheOthersStay() {
        SelectionSimulation simulation = run(AdapterAffinity::new, 0);
        int evictionsBefore = simulation.evictions;
        simulation.engines.get(3).gone = true;
        simulation.resetCounts();
        simulation.run(MEASURED_MILLIS, PER_SECOND, entry -> entry, AdapterAffinityTest::skewed);
        double share = simulation.loadedAtArrival / (double) simulation.requests;
        assertTrue(share > 0.7, "loaded " + share);
        assertTrue(simulation.evictions < 2 * evictionsBefore, simulation.evictions + " after " + evictionsBefore);
    }

    // Guards against asking an engine again that has just denied a request of the adapter.
    @Test
    void engineThatDeniedTheAdapterIsNotPreferred() {
        SelectionSimulation simulation = newSimulation(AdapterAffinity::new, 0);
        List<Target> targets = simulation.engines.stream()
                .map(SelectionSimulation.SimulatedEngine::newTarget)
                .toList();
        EngineSelection affinity = new AdapterAffinity(new EngineCost("a"), new Random(1));
        Target denying = affinity.select(query(targets, Set.of()));
        List<Target> others =
                targets.stream().filter(target -> target != denying).toList();
        Target next = affinity.select(query(others, Set.of(denying)));
        for (int number = 0; number < 20; number++) {
            assertSame(next, affinity.select(query(targets, Set.of())));
        }
    }

    private static EngineSelection.Query query(List<Target> targets, Set<Target> tried) {
        EngineRequirements requirements = new EngineRequirements("m", Optional.of("a1"), 0, 800);
        return new EngineSelection.Query(targets, tried, SelectionSimulation.ENGINE, requirements, Set.of(), 0);
    }

    private static long holders(SelectionSimulation simulation, String adapter) {
        return simulation.engines.stream()
                .filter(engine -> engine.lastUseByAdapter.containsKey(adapter))
                .count();
    }

    private static SelectionSimulation run(
            BiFunction<EngineCost, Random, EngineSelection> selection, double lostShare) {
        SelectionSimulation simulation = newSimulation(selection, lostShare);
        simulation.run(WARM_UP_MILLIS, PER_SECOND, entry -> entry, AdapterAffinityTest::skewed);
        simulation.resetCounts();
        simulation.run(MEASURED_MILLIS, PER_SECOND, entry -> entry, AdapterAffinityTest::skewed);
        return simulation;
    }

    private static SelectionSimulation newSimulation(
            BiFunction<EngineCost, Random, EngineSelection> selection, double lostShare) {
        return new SelectionSimulation(31, Collections.nCopies(10, "a"), lostShare, index -> "a", selection);
    }

    /** Maps a uniform number to an adapter, whose popularity is the inverse of its rank. */
    private static Optional<String> skewed(int number) {
        double point = number / (double) Integer.MAX_VALUE;
        int rank = (int) Math.floor(Math.pow(ADAPTERS + 1, point));
        return Optional.of("adapter-" + Math.min(ADAPTERS, rank));
    }
}
