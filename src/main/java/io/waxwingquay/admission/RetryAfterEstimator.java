package io.waxwingquay.admission;

import java.util.random.RandomGenerator;

/**
 * When a refused caller should come back: the time in which the measured drain rate empties what waits now,
 * with jitter so that refused callers spread out. Safe for concurrent use.
 */
public final class RetryAfterEstimator {

    private static final long MILLIS_PER_SECOND = 1_000L;
    private static final double SMOOTHING_FACTOR = 0.3;

    private final long minimumMillis;
    private final long maximumMillis;
    private long windowStartMillis;
    private long completedInWindow;
    private double drainedPerSecond;

    /**
     * A measure that knows no rate yet.
     *
     * @param minimumMillis the shortest come-back time.
     * @param maximumMillis the longest come-back time, also used while the rate is unknown and work waits.
     * @param nowMillis the monotonic time.
     */
    public RetryAfterEstimator(long minimumMillis, long maximumMillis, long nowMillis) {
        this.minimumMillis = minimumMillis;
        this.maximumMillis = maximumMillis;
        this.windowStartMillis = nowMillis;
    }

    /**
     * Notes a finished request.
     *
     * @param nowMillis the monotonic time.
     */
    public synchronized void recordCompletion(long nowMillis) {
        completedInWindow++;
        rollWindow(nowMillis);
    }

    /**
     * The come-back time for a caller refused now.
     *
     * @param waiting requests ahead of it.
     * @param nowMillis the monotonic time.
     * @param random the source of jitter.
     * @return milliseconds.
     */
    public synchronized long delayMillis(long waiting, long nowMillis, RandomGenerator random) {
        rollWindow(nowMillis);
        return delayMillis(waiting, drainedPerSecond, minimumMillis, maximumMillis, random);
    }

    /**
     * The come-back time from a known rate.
     *
     * @param waiting requests ahead.
     * @param drainedPerSecond requests finished a second.
     * @param minimumMillis the shortest come-back time.
     * @param maximumMillis the longest come-back time before jitter.
     * @param random the source of jitter.
     * @return milliseconds, up to half more than the time needed.
     */
    public static long delayMillis(
            long waiting, double drainedPerSecond, long minimumMillis, long maximumMillis, RandomGenerator random) {
        double drainMillis = waiting == 0 ? 0 : waiting * MILLIS_PER_SECOND / Math.max(drainedPerSecond, 1e-9);
        long boundedMillis = (long) Math.min(maximumMillis, Math.max(minimumMillis, drainMillis));
        return boundedMillis + random.nextLong(boundedMillis / 2 + 1);
    }

    private void rollWindow(long nowMillis) {
        long elapsedMillis = nowMillis - windowStartMillis;
        if (elapsedMillis < MILLIS_PER_SECOND) {
            return;
        }
        double measuredPerSecond = completedInWindow * (double) MILLIS_PER_SECOND / elapsedMillis;
        drainedPerSecond = drainedPerSecond == 0
                ? measuredPerSecond
                : drainedPerSecond + SMOOTHING_FACTOR * (measuredPerSecond - drainedPerSecond);
        windowStartMillis = nowMillis;
        completedInWindow = 0;
    }
}
