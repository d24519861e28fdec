package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.api.Test;

class ZoneChoiceTest {

    private static final List<String> ENGINE_ZONES = List.of("a", "b", "a", "b", "a", "b", "a", "b", "a", "b");
    private static final int ENTRIES_OF_A = 15;
    private static final long WARM_UP_MILLIS = 10_000;
    private static final long MEASURED_MILLIS = 30_000;
    private static final LongUnaryOperator ANY_ENTRY = number -> number;
    private static final LongUnaryOperator ENTRY_OF_A = number -> number % ENTRIES_OF_A;

    private final SelectionSimulation simulation = new SelectionSimulation(
            2 * ENTRIES_OF_A, ENGINE_ZONES, 0, index -> index < ENTRIES_OF_A ? "a" : "b", WeightedPair::new);

    // Guards against requests that fill the own data centre's engines while others are idle, and against bytes that are
    // charged while it has free slots, or after its load has fallen.
    @Test
    void loadOfOneDataCentreSpillsBeforeItsEnginesAreFull() {
        assertEquals(0, otherZoneShare(10, ENTRY_OF_A), 0.01);
        double busyShare = otherZoneShare(50, ENTRY_OF_A);
        assertTrue(busyShare > 0.2 && busyShare < 0.45, "share " + busyShare);
        int slots = ENGINE_ZONES.size() / 2 * SelectionSimulation.SLOTS;
        assertTrue(simulation.inEngines("a") < 0.8 * slots, "requests " + simulation.inEngines("a"));
        assertTrue(simulation.dispersion(MEASURED_MILLIS) < 1.3, "bursts " + simulation.dispersion(MEASURED_MILLIS));
        assertEquals(0, otherZoneShare(10, ENTRY_OF_A), 0.01);
    }

    // Guards against bytes charged for nothing, as single engines of the own data centre are busy.
    @Test
    void evenLoadStaysInItsDataCentre() {
        double share = otherZoneShare(95, ANY_ENTRY);
        assertTrue(share < 0.03, "share " + share);
    }

    private double otherZoneShare(double perSecond, LongUnaryOperator entryOf) {
        simulation.run(WARM_UP_MILLIS, perSecond, entryOf, number -> Optional.empty());
        simulation.resetCounts();
        simulation.run(MEASURED_MILLIS, perSecond, entryOf, number -> Optional.empty());
        return simulation.inOtherZone / (double) simulation.requests;
    }
}
