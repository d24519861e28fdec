package io.waxwingquay.side;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class LoadMeterTest {

    private static final int MAX_CONCURRENT = 4;

    private final ManualClock clock = new ManualClock();
    private final LoadMeter meter = new LoadMeter(clock, new Random(1L), () -> 0L);

    /*
     * Callers of a quiet target see their first burst refused, although it would be worked off in a moment.
     * One call of 10 ms is finished, then nothing comes for a minute; then a burst arrives.
     * A rate of finished calls would say one a minute; what counts is how long a run takes.
     */
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
