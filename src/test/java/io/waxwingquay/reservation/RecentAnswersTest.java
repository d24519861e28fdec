package io.waxwingquay.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RecentAnswersTest {

    private final RecentAnswers recent = new RecentAnswers();

    @Test
    void forgetsAfterTheRetention() {
        recent.started(key(1), 0);
        assertTrue(recent.find(key(1), RecentAnswers.RETENTION_MILLIS - 1).isPresent());
        assertTrue(recent.find(key(1), RecentAnswers.RETENTION_MILLIS).isEmpty());
    }

    // Guards against memory that grows with the requests.
    @Test
    void boundsWhatIsRemembered() {
        for (int id = 0; id < 10_000; id++) {
            recent.cancelled(key(id), 0);
        }
        assertEquals(RecentAnswers.MAX_SIZE, recent.size());
        recent.cancelled(key(20_000), RecentAnswers.RETENTION_MILLIS);
        assertEquals(1, recent.size());
    }

    private static SlotRequest.Key key(long id) {
        return new SlotRequest.Key(SlotBookFixture.ENTRY, id);
    }
}
