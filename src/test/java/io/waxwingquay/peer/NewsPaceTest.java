package io.waxwingquay.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class NewsPaceTest {

    // Each process tells each other one. If it did so at a fixed pace, what one process sends would grow with the
    // fleet.
    @Test
    void whatOneProcessSendsDoesNotGrowWithTheFleet() {
        IntStream.of(10, 70, 300, 2_720)
                .forEach(receivers -> assertTrue(receivers * 1_000.0 / NewsPace.periodMillis(receivers) <= 50));
    }

    @Test
    void silenceCountsAfterSeveralTellings() {
        assertEquals(200, NewsPace.periodMillis(2));
        assertEquals(3_000, NewsPace.heardMillis(2));
        assertEquals(3 * NewsPace.periodMillis(300), NewsPace.heardMillis(300));
    }
}
