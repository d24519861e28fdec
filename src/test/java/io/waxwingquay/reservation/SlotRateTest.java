package io.waxwingquay.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

class SlotRateTest {

    private final SlotRate rate = new SlotRate();

    @Test
    void startsFromTheUsualRunTime() {
        assertEquals(24 / 2_000.0, rate.perMilli(24, 0), 1e-9);
    }

    // Guards against a rate that is too low because the engine was nearly idle while it was measured.
    @Test
    void followsTheRunTimeOfFewRequests() {
        for (long time = 0; time < 60_000; time += 100) {
            rate.observed(Set.of("a" + time / 500), time);
        }
        assertEquals(500, 24 / rate.perMilli(24, 60_000), 200);
    }

    // Guards against requests that count as ended since the engine was not heard or restarted.
    @Test
    void countsNoEndsOverAGap() {
        rate.observed(Set.of("a", "b", "c"), 0);
        rate.observed(Set.of(), 5_000);
        rate.observed(Set.of("d"), 5_100);
        rate.restarted();
        rate.observed(Set.of(), 5_200);
        assertEquals(24 / 2_000.0, rate.perMilli(24, 5_200), 1e-3);
    }
}
