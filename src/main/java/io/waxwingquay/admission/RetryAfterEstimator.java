package io.waxwingquay.admission;

import java.util.random.RandomGenerator;

/**
 * Estimates the retry-after delay of a rejected caller: the time in which the measured drain rate empties the queue,
 * with jitter so that rejected callers spread out. Safe for concurrent use.
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
     * Creates an estimator that has not measured a rate yet.
     *
     * @param minimumMillis the shortest retry-after delay.
     * @param maximumMillis the longest retry-after delay before jitter, also used while the rate is unknown and
     *     requests are queued.
     * @param nowMillis the monotonic time.
     */
    public RetryAfterEstimator(long minimumMillis, long maximumMillis, long nowMillis) {
        this.minimumMillis = minimumMillis;
        this.maximumMillis = maximumMillis;
        this.windowStartMillis = nowMillis;
    }

    /**
     * Records a completed request.
     *
     * @param nowMillis the monotonic time.
     */
    public synchronized void recordCompletion(long nowMillis) {
        completedInWindow++;
        rollWindow(nowMillis);
    }

    /**
     * Returns the retry-after delay of a caller rejected now.
     *
     * @param waiting requests queued ahead of it.
     * @param nowMillis the monotonic time.
     * @param random the source of jitter.
     * @return milliseconds.
     */
    public synchronized long delayMillis(long waiting, long nowMillis, RandomGenerator random) {
        rollWindow(nowMillis);
        return delayMillis(waiting, drainedPerSecond, minimumMillis, maximumMillis, random);
    }

    /**
     * Returns the retry-after delay for a known drain rate.
     *
     * @param waiting requests queued ahead of the caller.
     * @param drainedPerSecond requests completed per second.
     * @param minimumMillis the shortest retry-after delay.
     * @param maximumMillis the longest retry-after delay before jitter.
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
