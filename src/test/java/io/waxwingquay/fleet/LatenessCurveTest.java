package io.waxwingquay.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class LatenessCurveTest {

    @Test
    void lowUtilisationServesAllInTime() {
        assertEquals(0, LatenessCurve.lateShare(0));
        assertEquals(0, LatenessCurve.lateShare(0.2));
    }

    @Test
    void fullUtilisationServesHalfLate() {
        assertEquals(LatenessCurve.LATE_SHARE_WHEN_FULL, LatenessCurve.lateShare(1), 1e-9);
    }

    @Test
    void lateShareNeverDecreasesWithUtilisation() {
        for (double utilisation = 0; utilisation < 1.5; utilisation += 0.1) {
            assertTrue(LatenessCurve.lateShare(utilisation) <= LatenessCurve.lateShare(utilisation + 0.1));
        }
    }
}
