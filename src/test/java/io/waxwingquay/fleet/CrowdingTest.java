package io.waxwingquay.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CrowdingTest {

    @Test
    void easyEngineServesAllInTime() {
        assertEquals(0, Crowding.lateShare(0));
        assertEquals(0, Crowding.lateShare(0.2));
    }

    @Test
    void fullEngineServesHalfLate() {
        assertEquals(Crowding.LATE_SHARE_WHEN_FULL, Crowding.lateShare(1), 1e-9);
    }

    @Test
    void moreRequestsAreNeverLessLate() {
        for (double taken = 0; taken < 1.5; taken += 0.1) {
            assertTrue(Crowding.lateShare(taken) <= Crowding.lateShare(taken + 0.1));
        }
    }
}
