package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class StreamProgressTest {

    private final StreamProgress stream = new StreamProgress(100, OptionalLong.empty());

    @Test
    void firstEventAndLongestPauseAreMeasured() {
        stream.eventDelivered(OptionalLong.of(1), 130);
        stream.eventDelivered(OptionalLong.of(2), 180);
        stream.eventDelivered(OptionalLong.of(3), 190);
        assertEquals(30, stream.firstEventMillis());
        assertEquals(50, stream.longestPauseMillis());
        assertEquals(5, stream.callerIdleMillis(195));
    }

    // Guards against an event that a caller receives twice, because the replica that resumes a stream repeats it.
    @Test
    void eventOfAnEarlierRunCountsAsDelivered() {
        assertFalse(stream.wasDelivered(OptionalLong.of(1)));
        stream.eventDelivered(OptionalLong.of(2), 130);
        assertTrue(stream.wasDelivered(OptionalLong.of(2)));
        assertFalse(stream.wasDelivered(OptionalLong.of(3)));
        assertFalse(stream.wasDelivered(OptionalLong.empty()));
    }

    @Test
    void interruptionCountsFromTheLastOne() {
        stream.interrupted(150);
        stream.interrupted(200);
        assertEquals(40, stream.interruptedMillis(240));
    }
}
