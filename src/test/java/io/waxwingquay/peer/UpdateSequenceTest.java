package io.waxwingquay.peer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class UpdateSequenceTest {

    private final UpdateSequence sequence = new UpdateSequence(500_000);
    private final long first = sequence.next();
    private final long second = sequence.next();

    @Test
    void whatComesTwiceOrLateSaysNothingNew() {
        assertTrue(UpdateSequence.isSuperseded(first, second));
        assertTrue(UpdateSequence.isSuperseded(second, second));
        assertFalse(UpdateSequence.isSuperseded(second, first));
        assertTrue(UpdateSequence.isSameIncarnation(first, second));
    }

    // A process ends after a long life and starts again at its address. If what it says counted as overtaken, others
    // would plan by what it said before for as long as it had lived.
    @Test
    void processThatStartedAgainIsHeardAtOnce() {
        long again = new UpdateSequence(500_700).next();
        assertFalse(UpdateSequence.isSuperseded(again, second));
        assertTrue(UpdateSequence.isSuperseded(second, again));
        assertFalse(UpdateSequence.isSameIncarnation(again, second));
    }

    // The VM starts again and its steady time with it.
    @Test
    void processOnAVmThatStartedAgainIsHeardAtOnce() {
        assertFalse(UpdateSequence.isSuperseded(new UpdateSequence(900).next(), second));
    }
}
