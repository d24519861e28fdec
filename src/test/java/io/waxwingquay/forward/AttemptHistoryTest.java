package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AttemptHistoryTest {

    private final AttemptHistory history = new AttemptHistory();

    @Test
    void pauseDoublesWithEachFailedConnectUntilAnAnswerComes() {
        history.unreachable(0);
        assertFalse(history.isPaused(300));
        history.unreachable(300);
        assertTrue(history.isPaused(899));
        assertFalse(history.isPaused(900));
        history.succeeded(10, 900);
        history.unreachable(1_000);
        assertFalse(history.isPaused(1_300));
    }

    @Test
    void recentAnswerTimeDecaysWithoutNewAnswers() {
        history.succeeded(400, 0);
        assertEquals(400, history.answerMillis());
        assertEquals(200, history.recentAnswerMillis(2_000), 0.5);
    }
}
