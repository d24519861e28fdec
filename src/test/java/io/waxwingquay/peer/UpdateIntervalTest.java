package io.waxwingquay.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class UpdateIntervalTest {

    // Each process tells each other one. If it did so at a fixed pace, what one process sends would grow with the
    // fleet.
    @Test
    void whatOneProcessSendsDoesNotGrowWithTheFleet() {
        IntStream.of(10, 70, 300, 2_720)
                .forEach(receivers -> assertTrue(receivers * 1_000.0 / UpdateInterval.periodMillis(receivers) <= 50));
    }

    @Test
    void silenceCountsAfterSeveralTellings() {
        assertEquals(200, UpdateInterval.periodMillis(2));
        assertEquals(3_000, UpdateInterval.staleAfterMillis(2));
        assertEquals(3 * UpdateInterval.periodMillis(300), UpdateInterval.staleAfterMillis(300));
    }
}
