package io.waxwingquay.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class SlownessTest {

    private final Slowness slowness = new Slowness();

    @Test
    void slotsFallByTheFactorFromTwiceTheUsualTimeOn() {
        assertEquals(24, slowness.effectiveSlots(24));
        observe(0, 30_000, 50);
        slowness.observe(100, 30_000);
        assertEquals(24, slowness.effectiveSlots(24));
        slowness.observe(150, 30_500);
        assertEquals(8, slowness.effectiveSlots(24));
        slowness.observe(1_000, 31_000);
        assertEquals(6, slowness.effectiveSlots(24));
        assertEquals(1, slowness.effectiveSlots(1));
        slowness.observe(50, 31_500);
        assertEquals(24, slowness.effectiveSlots(24));
    }

    // Guards against an engine that stays slow in the books because its streams ended while it was.
    @Test
    void slownessIsForgottenWithoutFurtherSamples() {
        observe(0, 30_000, 50);
        slowness.observe(150, 30_000);
        slowness.expire(90_001);
        assertEquals(24, slowness.effectiveSlots(24));
    }

    private void observe(long fromMillis, long toMillis, double eventMillis) {
        for (long nowMillis = fromMillis; nowMillis < toMillis; nowMillis += 500) {
            slowness.observe(eventMillis, nowMillis);
        }
    }
}
