package io.waxwingquay.standin;

/**
 * Counts events in total and records the maximum within one second.
 */
public final class RateCounter {

    private static final long MICROS_PER_SECOND = 1_000_000L;

    private final StandinTimer timer;
    private long total;
    private long currentSecond;
    private long currentSecondCount;
    private long maxPerSecond;

    RateCounter(StandinTimer timer) {
        this.timer = timer;
    }

    synchronized void add(long events) {
        long nowSecond = timer.nowMicros() / MICROS_PER_SECOND;
        if (nowSecond != currentSecond) {
            currentSecond = nowSecond;
            currentSecondCount = 0;
        }
        total += events;
        currentSecondCount += events;
        maxPerSecond = Math.max(maxPerSecond, currentSecondCount);
    }

    synchronized Count count() {
        return new Count(total, maxPerSecond);
    }

    /**
     * The number of events so far.
     *
     * @param total number of events in total.
     * @param maxPerSecond maximum number of events within one second.
     */
    public record Count(long total, long maxPerSecond) {}
}
