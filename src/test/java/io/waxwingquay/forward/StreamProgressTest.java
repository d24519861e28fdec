package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.platform.HeaderCodec;
import java.util.List;
import java.util.OptionalLong;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

class StreamProgressTest {

    private final StreamProgress stream = new StreamProgress(100, new HeaderCodec().readRequest(HttpFields.EMPTY));

    private final ReplicaRecord replica = new ReplicaRecord(
            "r", 1, "s", "v1", new HostPort("10.0.0.1", 80), "z", 4, false, OptionalLong.empty(), List.of());

    @Test
    void firstEventAndLongestPauseAreMeasured() {
        stream.eventDelivered(replica, OptionalLong.of(1), 130);
        stream.eventDelivered(replica, OptionalLong.of(2), 180);
        stream.eventDelivered(replica, OptionalLong.of(3), 190);
        assertEquals(30, stream.firstEventMillis());
        assertEquals(50, stream.longestPauseMillis());
        assertEquals(5, stream.callerIdleMillis(195));
    }

    // Guards against an event that a caller receives twice, because the replica that resumes a stream repeats it.
    @Test
    void eventOfAnEarlierRunCountsAsDelivered() {
        assertFalse(stream.wasDelivered(OptionalLong.of(1)));
        stream.eventDelivered(replica, OptionalLong.of(2), 130);
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
