package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class WeightLoadLimiterTest {

    @Test
    void dropsLoadsOutsideWindow() {
        WeightLoadLimiter limiter = new WeightLoadLimiter(5_000, 1.1);
        limiter.recordLoad(0);
        limiter.recordLoad(3_000);
        assertEquals(2, limiter.recentLoads(5_000));
        assertEquals(1, limiter.recentLoads(5_001));
    }

    // Without the platform's store nobody counts loads across all engines; the shares alone must keep the limit as long
    // as there are fewer engines than allowed loads.
    @Property(seed = "11")
    void sharesOfAllEnginesStayWithinLimit(
            @ForAll @DoubleRange(min = 0.2, max = 9) double perSecond,
            @ForAll @IntRange(min = 1, max = 60) int engines) {
        WeightLoadLimiter.Limit limit = new WeightLoadLimiter(5_000, 1.1).limit(perSecond, engines);
        double allowed = perSecond * 5 * 1.1 + 3;
        if (engines <= allowed - 1) {
            assertTrue(engines * limit.perEngine() <= allowed);
        }
        assertTrue(limit.total() < allowed);
    }

    // All sides are killed just after each engine started a load, and restart within the window without knowledge of
    // it. If each started another load, the total would exceed the limit.
    @Test
    void restartedProcessesStayWithinLimit() {
        int engines = 13;
        WeightLoadLimiter.Limit limit = new WeightLoadLimiter(5_000, 1.1).limit(2.1, engines);
        WeightLoadLimiter again = new WeightLoadLimiter(5_000, 1.1);
        again.assumeRecentLoad(1_000);
        assertFalse(limit.allows(again.recentLoads(1_100), engines, Double.MAX_VALUE));
        assertTrue(limit.allows(again.recentLoads(6_001), 0, Double.MAX_VALUE));
    }

    @Test
    void lowGainLoadsLeavePartOfLimitToBusyModels() {
        WeightLoadLimiter.Limit limit = new WeightLoadLimiter.Limit(10, 2);
        assertTrue(limit.allows(0, 6, 40.0));
        assertFalse(limit.allows(0, 6, 0.2));
        assertFalse(limit.allows(2, 2, 40.0));
        assertFalse(limit.allows(0, 10, 40.0));
    }
}
