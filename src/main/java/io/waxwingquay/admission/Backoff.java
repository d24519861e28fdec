package io.waxwingquay.admission;

import java.util.random.RandomGenerator;

/**
 * Waits between tries: doubling, with jitter over the upper half so that callers that failed together do not
 * return together.
 *
 * @param initialDelayMillis the longest wait before the first retry.
 * @param maximumDelayMillis the longest wait before any retry.
 */
public record Backoff(long initialDelayMillis, long maximumDelayMillis) {

    private static final int MAXIMUM_DOUBLINGS = 20;

    /**
     * The wait before a retry.
     *
     * @param retry the number of the retry, from 0.
     * @param random the source of jitter.
     * @return milliseconds, between half of the doubled wait and all of it.
     */
    public long delayMillis(int retry, RandomGenerator random) {
        long doubledMillis = initialDelayMillis << Math.min(retry, MAXIMUM_DOUBLINGS);
        long limitMillis = Math.max(1, Math.min(maximumDelayMillis, doubledMillis));
        return limitMillis - random.nextLong(limitMillis / 2 + 1);
    }
}
