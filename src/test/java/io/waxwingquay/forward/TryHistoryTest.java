package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TryHistoryTest {

    private final TryHistory tries = new TryHistory();

    @Test
    void pauseDoublesWithEachFailedConnectUntilAnAnswerComes() {
        tries.unreachable(0);
        assertFalse(tries.isPaused(300));
        tries.unreachable(300);
        assertTrue(tries.isPaused(899));
        assertFalse(tries.isPaused(900));
        tries.succeeded(10, 900);
        tries.unreachable(1_000);
        assertFalse(tries.isPaused(1_300));
    }

    @Test
    void slowAnswerIsForgottenWhileNoneComes() {
        tries.succeeded(400, 0);
        assertEquals(400, tries.answerMillis());
        assertEquals(200, tries.recentAnswerMillis(2_000), 0.5);
    }
}
