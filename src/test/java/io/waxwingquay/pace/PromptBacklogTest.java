package io.waxwingquay.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class PromptBacklogTest {

    private static final double TOKEN_MILLIS = 0.025;
    private static final double PART_MILLIS = 100;
    private static final double SPAN_MILLIS = 150;

    private final PromptBacklog backlog = new PromptBacklog();

    @Test
    void promptsAreReadOneAfterTheOther() {
        backlog.add(4_000, TOKEN_MILLIS, 0);
        backlog.add(2_000, TOKEN_MILLIS, 50);
        assertEquals(100, backlog.millisUntilIdle(50));
        assertEquals(2_000, backlog.readTokens(50));
        assertEquals(0, backlog.millisUntilIdle(150));
        assertEquals(6_000, backlog.readTokens(150));
    }

    @Test
    void roomIsFreeWhenTheSpanThatEndsWithThePromptHasEnough() {
        backlog.add(2_400, TOKEN_MILLIS, 0);
        assertEquals(0, backlog.millisUntilRoom(40, PART_MILLIS, SPAN_MILLIS, 0));
        // Read from 0 to 60 ms; of the span from 20 to 170 ms these take 40 ms, and the prompt 60 ms.
        assertEquals(110, backlog.millisUntilRoom(60, PART_MILLIS, SPAN_MILLIS, 0));
        assertEquals(10, backlog.millisUntilRoom(60, PART_MILLIS, SPAN_MILLIS, 100));
        assertEquals(0, backlog.millisUntilRoom(60, PART_MILLIS, SPAN_MILLIS, 110));
    }

    // Guards against a backlog that stays when the engine reads faster than was learned, as from its cache.
    @Test
    void firstEventsShowThatPromptsWereRead() {
        backlog.add(40_000, TOKEN_MILLIS, 0);
        backlog.add(4_000, TOKEN_MILLIS, 0);
        backlog.confirmRead(1, 200);
        assertEquals(100, backlog.millisUntilIdle(200));
        assertEquals(1, backlog.unseenPrompts(200));
        backlog.confirmRead(5, 200);
        assertEquals(0, backlog.millisUntilIdle(200));
        assertEquals(0, backlog.unseenPrompts(200));
    }

    // Guards against a request that was granted but never sent, which would block others for its whole prompt.
    @Test
    void promptsThatWereNeverSentAreDropped() {
        backlog.add(1_000_000, TOKEN_MILLIS, 0);
        backlog.confirmIdle(250);
        assertEquals(24_750, backlog.millisUntilIdle(250));
        backlog.confirmIdle(251);
        assertEquals(0, backlog.millisUntilIdle(251));
    }
}
