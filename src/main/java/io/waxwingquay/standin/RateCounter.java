package io.waxwingquay.standin;

/**
 * Counts events, in all and in the fullest second.
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
     * The events so far.
     *
     * @param total all events.
     * @param maxPerSecond events in the fullest second.
     */
    public record Count(long total, long maxPerSecond) {}
}
