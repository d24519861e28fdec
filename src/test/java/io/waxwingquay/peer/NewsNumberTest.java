package io.waxwingquay.peer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class NewsNumberTest {

    private final NewsNumber numbers = new NewsNumber(500_000);
    private final long first = numbers.next();
    private final long second = numbers.next();

    @Test
    void whatComesTwiceOrLateSaysNothingNew() {
        assertTrue(NewsNumber.isOvertaken(first, second));
        assertTrue(NewsNumber.isOvertaken(second, second));
        assertFalse(NewsNumber.isOvertaken(second, first));
        assertTrue(NewsNumber.isSameLife(first, second));
    }

    // A process ends after a long life and starts again at its address. If what it says counted as overtaken, others
    // would plan by what it said before for as long as it had lived.
    @Test
    void processThatStartedAgainIsHeardAtOnce() {
        long again = new NewsNumber(500_700).next();
        assertFalse(NewsNumber.isOvertaken(again, second));
        assertTrue(NewsNumber.isOvertaken(second, again));
        assertFalse(NewsNumber.isSameLife(again, second));
    }

    // The VM starts again and its steady time with it.
    @Test
    void processOnAVmThatStartedAgainIsHeardAtOnce() {
        assertFalse(NewsNumber.isOvertaken(new NewsNumber(900).next(), second));
    }
}
