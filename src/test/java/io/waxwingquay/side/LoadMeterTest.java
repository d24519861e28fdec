package io.waxwingquay.side;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class LoadMeterTest {

    private static final int MAX_CONCURRENT = 4;

    private final ManualClock clock = new ManualClock();
    private final LoadMeter meter = new LoadMeter(clock, new Random(1L), () -> 0L);

    // Guards against rejecting the first burst after a quiet period. One run of 10 ms is followed by a minute without
    // requests. The rate of finished runs would be one per minute, although the target can run a burst at once; the
    // throughput is therefore derived from the run time.
    @Test
    void throughputDoesNotFallWhileTargetIsIdle() {
        meter.setCounts(new LoadMeter.Counts(0, 0, 0L, MAX_CONCURRENT));
        meter.recordRun(10L);
        clock.advance(60_000L);
        assertEquals(400.0, meter.throughputPerSecond());
    }

    @Test
    void throughputIsZeroBeforeFirstRun() {
        meter.setCounts(new LoadMeter.Counts(0, 0, 0L, MAX_CONCURRENT));
        assertEquals(0.0, meter.throughputPerSecond());
    }

    @Test
    void throughputFallsWhenRunsBecomeSlower() {
        meter.setCounts(new LoadMeter.Counts(0, 0, 0L, MAX_CONCURRENT));
        meter.recordRun(10L);
        double before = meter.throughputPerSecond();
        meter.recordRun(1_000L);
        assertTrue(meter.throughputPerSecond() < before);
    }
}
