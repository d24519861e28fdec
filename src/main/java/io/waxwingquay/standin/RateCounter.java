package io.waxwingquay.standin;

/**
 * Counts events, in all and in the fullest second.
 */
public final class RateCounter {

    private static final long SECOND_MICROS = 1_000_000L;

    private final StandinTimer timer;
    private long total;
    private long second;
    private long inSecond;
    private long maxPerSecond;

    RateCounter(StandinTimer timer) {
        this.timer = timer;
    }

    synchronized void add(long events) {
        long current = timer.nowMicros() / SECOND_MICROS;
        if (current != second) {
            second = current;
            inSecond = 0;
        }
        total += events;
        inSecond += events;
        maxPerSecond = Math.max(maxPerSecond, inSecond);
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
