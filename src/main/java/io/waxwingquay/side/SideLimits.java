package io.waxwingquay.side;

/**
 * Bounds of a side process.
 *
 * @param queueLimit attempts that wait at once.
 * @param attemptLimit attempts remembered at once.
 * @param attemptRetentionMillis how long an ended attempt is remembered.
 * @param answerRetentionMillis how long the bytes of an ended answer are kept for polls.
 * @param unpolledLimitMillis how long an attempt goes unpolled before its entry counts as gone.
 * @param tickIntervalMillis time between two runs of the order loop.
 * @param adapterTickIntervalMillis the same while an adapter is waited for.
 * @param resendIntervalMillis time before an order without effect is sent again under the same id.
 * @param quarantineMillis longer than the longest delay of an order.
 * @param pauseLimitMillis the longest gap in the order loop that does not count as a pause of the process.
 * @param noticeTimeoutMillis the longest wait for other sides to take in suspects.
 * @param resumeLimit how often a cut stream is opened again in a row without a new token.
 * @param streamSilenceMillis how long a stream may bring nothing before it is opened afresh.
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
     * Limits that suit the sizes of the brief.
     *
     * @return the limits.
     */
    public static SideLimits defaults() {
        return new SideLimits(
                256, 50_000, 900_000L, 60_000L, 10_000L, 200L, 5L, 2_000L, 30_000L, 2_000L, 300L, 5, 1_000L, 10_000L);
    }

    /**
     * The same with another quarantine.
     *
     * @param millis longer than the longest delay of an order.
     * @return the changed limits.
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
     * The same with another bound of the queue.
     *
     * @param attempts attempts that wait at once.
     * @return the changed limits.
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
     * The same with another retention of ended attempts.
     *
     * @param millis how long an ended attempt is remembered.
     * @return the changed limits.
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
     * The same with another limit of a silent stream.
     *
     * @param millis how long a stream may bring nothing.
     * @return the changed limits.
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
     * The same with another longest wait of a poll.
     *
     * @param millis how long a poll is held open at most.
     * @return the changed limits.
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
