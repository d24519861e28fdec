package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class DemandMeterTest {

    private final DemandMeter meter = new DemandMeter();

    @Test
    void steadyDemandIsReportedUnchanged() {
        requestEvery(0, 30_000, 50);
        assertEquals(20, reportedPerSecond(30_000), 2);
    }

    // Guards against copies that arrive when the demand is at its peak already: it moves to another model within five
    // seconds, and a copy takes six to load. One second into the rise the reported rate must be close to the actual
    // one, of which an average over seconds shows a third.
    @Test
    void risingDemandIsExtrapolated() {
        requestEvery(0, 1_000, 100);
        assertTrue(reportedPerSecond(1_000) > 8, "told " + reportedPerSecond(1_000));
    }

    @Test
    void endedDemandDecaysWithinSeconds() {
        requestEvery(0, 30_000, 50);
        assertTrue(reportedPerSecond(32_000) < 2, "told " + reportedPerSecond(32_000));
    }

    @Test
    void singleRequestIsNotExtrapolatedSteeply() {
        meter.requested("m", 0);
        assertTrue(reportedPerSecond(0) <= 3, "told " + reportedPerSecond(0));
    }

    private void requestEvery(long fromMillis, long toMillis, long everyMillis) {
        for (long atMillis = fromMillis; atMillis < toMillis; atMillis += everyMillis) {
            meter.requested("m", atMillis);
        }
    }

    private double reportedPerSecond(long nowMillis) {
        return meter.snapshot(nowMillis).get("m").getPerSecond();
    }
}
