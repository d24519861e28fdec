package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import org.junit.jupiter.api.Test;

class EntryCountTest {

    private static final HostPort FIRST = new HostPort("10.0.0.1", 1);
    private static final HostPort SECOND = new HostPort("10.0.0.2", 1);

    private final EntryCount count = new EntryCount(8);

    @Test
    void assumesANumberUntilTheFirstReport() {
        assertEquals(8, count.current());
        assertFalse(count.report(FIRST, 0, 1_000, 0));
        assertEquals(8, count.current());
    }

    // A side process starts again and has heard one entry. Guards against entries that then each take the shared limits
    // of a sole entry.
    @Test
    void reportOfASideThatHasJustStartedDoesNotLowerTheNumber() {
        count.report(FIRST, 33, 1_000, 0);
        assertFalse(count.report(SECOND, 1, 1_000, 10));
        assertEquals(33, count.current());
    }

    // Guards against shares that stay small after entries have gone.
    @Test
    void numberFallsOnceEverySideReportsFewer() {
        count.report(FIRST, 33, 1_000, 0);
        count.report(SECOND, 33, 1_000, 0);
        count.report(FIRST, 20, 1_000, 500);
        assertEquals(33, count.current());
        assertTrue(count.report(SECOND, 20, 1_000, 500));
        assertEquals(20, count.current());
    }

    // All processes start at once. Guards against entries that believe the first report of a side process that knows
    // only one of them.
    @Test
    void firstReportsDoNotFallBelowTheAssumedNumber() {
        count.report(FIRST, 1, 10_000, 0);
        assertEquals(8, count.current());
        count.report(FIRST, 2, 10_000, 2_999);
        assertEquals(8, count.current());
        count.report(FIRST, 2, 10_000, 3_000);
        assertEquals(2, count.current());
    }

    // Guards against a number that is kept up by the last report of a side process that is gone.
    @Test
    void reportOfASideThatIsGoneExpires() {
        count.report(FIRST, 33, 1_000, 0);
        count.report(SECOND, 20, 1_000, 900);
        count.report(SECOND, 20, 1_000, 1_001);
        assertEquals(20, count.current());
    }
}
