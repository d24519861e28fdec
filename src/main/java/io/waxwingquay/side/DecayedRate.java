package io.waxwingquay.side;

import io.waxwingquay.common.Clock;

/**
 * An exponentially decaying rate of events per second. Safe for concurrent use.
 */
final class DecayedRate {

    private static final double MILLIS_PER_SECOND = 1000.0;

    private final Clock clock;
    private final long timeConstantMillis;
    private double decayedEvents;
    private long updatedMillis;

    DecayedRate(Clock clock, long timeConstantMillis) {
        this.clock = clock;
        this.timeConstantMillis = timeConstantMillis;
        this.updatedMillis = clock.monotonicMillis();
    }

    synchronized void add(double events) {
        decay();
        decayedEvents += events;
    }

    synchronized double perSecond() {
        decay();
        return decayedEvents * MILLIS_PER_SECOND / timeConstantMillis;
    }

    private void decay() {
        long nowMillis = clock.monotonicMillis();
        decayedEvents *= Math.exp(-(nowMillis - updatedMillis) / (double) timeConstantMillis);
        updatedMillis = nowMillis;
    }
}
