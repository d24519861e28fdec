package io.waxwingquay.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ReadRateTest {

    // Guards against cutting off a caller whose output has only just begun to wait.
    @Test
    void callerThatHasJustFallenBehindIsFasterThanOneThatReadsLittle() {
        ReadRate fresh = new ReadRate();
        fresh.start(0, 10_000);
        ReadRate slow = new ReadRate();
        slow.start(0, 7_000);
        assertTrue(fresh.bytesPerMilli(0, 10_001) > slow.bytesPerMilli(3_000, 10_001));
    }

    // Guards against a caller that has stopped but counts as fast for what it read long before.
    @Test
    void callerThatHasStoppedIsSoonSlowerThanOneThatReadsSteadily() {
        ReadRate stopped = new ReadRate();
        ReadRate steady = new ReadRate();
        stopped.start(0, 0);
        steady.start(0, 0);
        for (long nowMillis = 100; nowMillis <= 6_000; nowMillis += 100) {
            stopped.observe(Math.min(nowMillis, 3_000) * 1_000, nowMillis);
            steady.observe(nowMillis * 50, nowMillis);
        }
        assertTrue(stopped.bytesPerMilli(3_000_000, 6_000) < steady.bytesPerMilli(300_000, 6_000));
    }
}
