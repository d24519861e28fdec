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
    void forgetsLoadsThatLeftTheWindow() {
        WeightLoadLimiter limiter = new WeightLoadLimiter(5_000, 1.1);
        limiter.recordLoad(0);
        limiter.recordLoad(3_000);
        assertEquals(2, limiter.recentLoads(5_000));
        assertEquals(1, limiter.recentLoads(5_001));
    }

    // Loads of all engines together have a ceiling in each window. With the platform's store away nobody counts them
    // for all; the shares alone must hold it as long as there are fewer engines than loads allowed.
    @Property(seed = "11")
    void sharesOfAllEnginesStayBelowTheCeiling(
            @ForAll @DoubleRange(min = 0.2, max = 9) double perSecond,
            @ForAll @IntRange(min = 1, max = 60) int engines) {
        WeightLoadLimiter.Limit limit = new WeightLoadLimiter(5_000, 1.1).limit(perSecond, engines);
        double allowed = perSecond * 5 * 1.1 + 3;
        if (engines <= allowed - 1) {
            assertTrue(engines * limit.perEngine() <= allowed);
        }
        assertTrue(limit.total() < allowed);
    }

    // All processes beside engines are killed just after each engine began a load, and start again within the window.
    // None remembers, so each begins another one, and all together are over the ceiling.
    @Test
    void processesThatStartAgainStayBelowTheCeiling() {
        int engines = 13;
        WeightLoadLimiter.Limit limit = new WeightLoadLimiter(5_000, 1.1).limit(2.1, engines);
        WeightLoadLimiter again = new WeightLoadLimiter(5_000, 1.1);
        again.assumeRecentLoad(1_000);
        assertFalse(limit.allows(again.recentLoads(1_100), engines, Double.MAX_VALUE));
        assertTrue(limit.allows(again.recentLoads(6_001), 0, Double.MAX_VALUE));
    }

    @Test
    void rareModelsLeaveLoadsToBusyOnes() {
        WeightLoadLimiter.Limit limit = new WeightLoadLimiter.Limit(10, 2);
        assertTrue(limit.allows(0, 6, 40.0));
        assertFalse(limit.allows(0, 6, 0.2));
        assertFalse(limit.allows(2, 2, 40.0));
        assertFalse(limit.allows(0, 10, 40.0));
    }
}
