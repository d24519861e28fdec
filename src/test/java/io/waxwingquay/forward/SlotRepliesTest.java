package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class SlotRepliesTest {

    private static final long NOW_MILLIS = 10_000;

    private final SlotReplies replies = new SlotReplies();

    // Guards against a choice by the load that an old reply stated, though a newer update is known.
    @Test
    void statedLoadCountsUntilSomethingNewerIsKnown() {
        replies.replied(7, NOW_MILLIS);
        assertEquals(OptionalInt.of(7), replies.loadSince(NOW_MILLIS));
        assertEquals(OptionalInt.empty(), replies.loadSince(NOW_MILLIS + 1));
    }

    // Guards against a load of 0 that no reply has stated, for an engine of which nothing is known.
    @Test
    void noLoadIsKnownWithoutAReply() {
        assertEquals(OptionalInt.empty(), replies.loadSince(Long.MIN_VALUE));
        assertFalse(replies.isSilent(NOW_MILLIS));
        assertFalse(replies.isEngineLost(NOW_MILLIS));
    }

    // Guards against a side process that is never asked again after it has once missed its time.
    @Test
    void silenceAndLossOfTheEngineEnd() {
        replies.silent(NOW_MILLIS);
        replies.engineLost(NOW_MILLIS);
        assertTrue(replies.isSilent(NOW_MILLIS + 1_999));
        assertFalse(replies.isSilent(NOW_MILLIS + 2_000));
        assertTrue(replies.isEngineLost(NOW_MILLIS + 499));
        assertFalse(replies.isEngineLost(NOW_MILLIS + 500));
    }
}
