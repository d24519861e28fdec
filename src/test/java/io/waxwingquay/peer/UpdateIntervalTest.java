package io.waxwingquay.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class UpdateIntervalTest {

    // Each process sends updates to every other one. With a fixed interval the traffic of one process would grow with
    // the fleet.
    @Test
    void trafficOfOneProcessDoesNotGrowWithTheFleet() {
        IntStream.of(10, 70, 300, 2_720)
                .forEach(receivers -> assertTrue(receivers * 1_000.0 / UpdateInterval.periodMillis(receivers) <= 50));
    }

    // If one lost datagram made a process count as gone, requests would avoid processes that are alive.
    @Test
    void updateIsStaleAfterSeveralMissedUpdates() {
        assertEquals(200, UpdateInterval.periodMillis(2));
        assertEquals(3_000, UpdateInterval.staleAfterMillis(2));
        assertEquals(3 * UpdateInterval.periodMillis(300), UpdateInterval.staleAfterMillis(300));
    }
}
