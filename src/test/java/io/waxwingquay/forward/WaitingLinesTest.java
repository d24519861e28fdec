package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WaitingLinesTest {

    private final WaitingLines lines = new WaitingLines();

    @Test
    void countsEachLineByItself() {
        lines.joined("a");
        lines.joined("a");
        lines.joined("b");
        lines.left("a");
        assertEquals(1, lines.size("a"));
        assertEquals(1, lines.size("b"));
        assertEquals(0, lines.size("c"));
    }

    // Hundreds wait for one model. Were each to look at all engines each time, the entry would do nothing else.
    @Test
    void oneThatFindsNoPlaceSparesTheOthersTheLook() {
        lines.joined("a");
        lines.foundFull("a", 100);
        assertTrue(lines.isFull("a", 105));
        assertFalse(lines.isFull("a", 115));
        assertFalse(lines.isFull("b", 105));
    }
}
