package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ActiveRequestsTest {

    private static final long NOW_MILLIS = 1_000;

    // Guards against waking up 67 times a second while all requests only pass the events of their streams on.
    @Test
    void requestsThatRunAreCheckedAtTheLongInterval() {
        assertEquals(45, ActiveRequests.delayMillis(NOW_MILLIS + 8_000, NOW_MILLIS));
    }

    // Guards against a deadline or a wait for room that is noticed a long interval late.
    @Test
    void checkIsDueWhenARequestNeedsIt() {
        assertEquals(20, ActiveRequests.delayMillis(NOW_MILLIS + 20, NOW_MILLIS));
    }

    // Guards against a loop that does nothing else while a request waits for which no check is possible yet.
    @Test
    void checksKeepTheShortIntervalApart() {
        assertEquals(15, ActiveRequests.delayMillis(NOW_MILLIS - 500, NOW_MILLIS));
    }
}
