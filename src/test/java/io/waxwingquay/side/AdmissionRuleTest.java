package io.waxwingquay.side;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.side.AdmissionRule.Estimate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class AdmissionRuleTest {

    private static final long BUDGET_MILLIS = 1_000L;
    private static final int RUNNING = 16;

    @Property(tries = 300, seed = "20261202")
    void busyTargetAdmitsOnlyRequestsThatFinishByTheDeadline(
            @ForAll @DoubleRange(max = 2_000) double waitMillis, @ForAll @DoubleRange(max = 2_000) double runMillis) {
        Estimate outlook = new Estimate(waitMillis, runMillis, BUDGET_MILLIS, RUNNING);
        assertEquals(waitMillis + runMillis <= BUDGET_MILLIS, AdmissionRule.WITH_RUN_TIME.mayQueue(outlook));
    }

    // Guards against an idle target that rejects every request for good. Run times measured in a slow period exceed
    // every deadline, and as rejected requests yield no newer measurement, they would persist. An idle target therefore
    // accepts any request.
    @Property(tries = 100, seed = "20261202")
    void idleTargetRejectsNothing(@ForAll @IntRange(min = 1, max = 1_000_000) int runMillis) {
        Estimate outlook = new Estimate(0, runMillis, 1L, 0);
        assertTrue(AdmissionRule.WITH_RUN_TIME.mayQueue(outlook));
        assertTrue(AdmissionRule.WITH_RUN_TIME.mayStart(outlook));
    }

    @Test
    void startCheckOnlyQueuesEveryRequestButStartsNoneTooLate() {
        Estimate late = new Estimate(0, 2 * BUDGET_MILLIS, BUDGET_MILLIS, RUNNING);
        assertTrue(AdmissionRule.START_CHECK_ONLY.mayQueue(late));
        assertFalse(AdmissionRule.START_CHECK_ONLY.mayStart(late));
    }
}
