package io.waxwingquay.side;

/**
 * The limits and intervals of a side process.
 *
 * @param queueLimit the largest number of queued attempts.
 * @param attemptLimit the largest number of retained attempts.
 * @param attemptRetentionMillis how long an ended attempt is retained.
 * @param answerRetentionMillis how long the bytes of an ended answer are retained for polls.
 * @param unpolledLimitMillis how long an attempt may go unpolled before its entry is presumed dead.
 * @param tickIntervalMillis the interval of the order loop.
 * @param adapterTickIntervalMillis the interval of the order loop while a request waits for an adapter.
 * @param resendIntervalMillis the time before an order without effect is resent under the same ID.
 * @param quarantineMillis how long free memory counts as unknown, and nothing is loaded, when orders of others may
 *     still arrive; longer than the longest delay of an order.
 * @param pauseLimitMillis the longest gap in the order loop that does not count as a pause of the process.
 * @param noticeTimeoutMillis the longest wait for other sides to acknowledge suspects.
 * @param resumeLimit how often in a row a broken stream is reopened without receiving a new token.
 * @param streamSilenceMillis how long a stream may be silent before it is reopened.
 * @param pollWaitMillis how long a poll is held open at most.
 */
public record SideLimits(
        int queueLimit,
        int attemptLimit,
        long attemptRetentionMillis,
        long answerRetentionMillis,
        long unpolledLimitMillis,
        long tickIntervalMillis,
        long adapterTickIntervalMillis,
        long resendIntervalMillis,
        long quarantineMillis,
        long pauseLimitMillis,
        long noticeTimeoutMillis,
        int resumeLimit,
        long streamSilenceMillis,
        long pollWaitMillis) {

    /**
     * Returns the default limits.
     *
     * @return the limits.
     */
    public static SideLimits defaults() {
        return new SideLimits(
                256, 50_000, 900_000L, 60_000L, 10_000L, 200L, 5L, 2_000L, 30_000L, 2_000L, 300L, 5, 1_000L, 10_000L);
    }

    /**
     * Returns a copy with another quarantine period.
     *
     * @param millis the period, longer than the longest delay of an order.
     * @return the copy.
     */
    public SideLimits withQuarantineMillis(long millis) {
        return new SideLimits(
                queueLimit,
                attemptLimit,
                attemptRetentionMillis,
                answerRetentionMillis,
                unpolledLimitMillis,
                tickIntervalMillis,
                adapterTickIntervalMillis,
                resendIntervalMillis,
                millis,
                pauseLimitMillis,
                noticeTimeoutMillis,
                resumeLimit,
                streamSilenceMillis,
                pollWaitMillis);
    }

    /**
     * Returns a copy with another queue limit.
     *
     * @param attempts the largest number of queued attempts.
     * @return the copy.
     */
    public SideLimits withQueueLimit(int attempts) {
        return new SideLimits(
                attempts,
                attemptLimit,
                attemptRetentionMillis,
                answerRetentionMillis,
                unpolledLimitMillis,
                tickIntervalMillis,
                adapterTickIntervalMillis,
                resendIntervalMillis,
                quarantineMillis,
                pauseLimitMillis,
                noticeTimeoutMillis,
                resumeLimit,
                streamSilenceMillis,
                pollWaitMillis);
    }

    /**
     * Returns a copy with another retention period of ended attempts.
     *
     * @param millis how long an ended attempt is retained.
     * @return the copy.
     */
    public SideLimits withAttemptRetentionMillis(long millis) {
        return new SideLimits(
                queueLimit,
                attemptLimit,
                millis,
                answerRetentionMillis,
                unpolledLimitMillis,
                tickIntervalMillis,
                adapterTickIntervalMillis,
                resendIntervalMillis,
                quarantineMillis,
                pauseLimitMillis,
                noticeTimeoutMillis,
                resumeLimit,
                streamSilenceMillis,
                pollWaitMillis);
    }

    /**
     * Returns a copy with another limit for silent streams.
     *
     * @param millis how long a stream may be silent before it is reopened.
     * @return the copy.
     */
    public SideLimits withStreamSilenceMillis(long millis) {
        return new SideLimits(
                queueLimit,
                attemptLimit,
                attemptRetentionMillis,
                answerRetentionMillis,
                unpolledLimitMillis,
                tickIntervalMillis,
                adapterTickIntervalMillis,
                resendIntervalMillis,
                quarantineMillis,
                pauseLimitMillis,
                noticeTimeoutMillis,
                resumeLimit,
                millis,
                pollWaitMillis);
    }

    /**
     * Returns a copy with another limit for the wait of a poll.
     *
     * @param millis how long a poll is held open at most.
     * @return the copy.
     */
    public SideLimits withPollWaitMillis(long millis) {
        return new SideLimits(
                queueLimit,
                attemptLimit,
                attemptRetentionMillis,
                answerRetentionMillis,
                unpolledLimitMillis,
                tickIntervalMillis,
                adapterTickIntervalMillis,
                resendIntervalMillis,
                quarantineMillis,
                pauseLimitMillis,
                noticeTimeoutMillis,
                resumeLimit,
                streamSilenceMillis,
                millis);
    }
}
