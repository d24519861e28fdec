package io.waxwingquay.admission;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff between attempts. Jitter over the upper half of each delay keeps callers that failed together
 * from retrying together.
 *
 * @param initialDelayMillis the longest delay before the first retry.
 * @param maximumDelayMillis the longest delay before any retry.
 */
public record Backoff(long initialDelayMillis, long maximumDelayMillis) {

    private static final int MAXIMUM_DOUBLINGS = 20;

    /**
     * Returns the delay before a retry.
     *
     * @param retry the number of the retry, from 0.
     * @param random the source of jitter.
     * @return milliseconds, between half of the doubled delay and all of it.
     */
    public long delayMillis(int retry, RandomGenerator random) {
        long doubledMillis = initialDelayMillis << Math.min(retry, MAXIMUM_DOUBLINGS);
        long limitMillis = Math.max(1, Math.min(maximumDelayMillis, doubledMillis));
        return limitMillis - random.nextLong(limitMillis / 2 + 1);
    }
}
