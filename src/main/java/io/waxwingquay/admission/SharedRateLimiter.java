package io.waxwingquay.admission;

/**
 * One sender's share of a rate limit that several senders keep together without coordination.
 *
 * <p>Each sender earns an equal share of the rate and may accumulate one request. With many senders, each share is
 * worth far less than one request. If every sender kept an accumulated request until demand comes, as many requests as
 * there are senders would be sent at once. With many senders an accumulated request therefore expires soon after it was
 * earned, and senders start at different phases of that cycle, so that only a few of them hold one at any time.
 */
public final class SharedRateLimiter {

    /** Requests that all senders together may accumulate; one second's worth of the rate if that is more. */
    private static final double BURST_REQUESTS = 5.0;

    /** Lower bound of the rate; a sender that sends nothing would never learn that the limit is gone. */
    private static final double MIN_PER_SECOND = 0.01;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private double perSecond;
    private int senders;
    private double tokens;
    private long refilledAtMillis;

    private SharedRateLimiter(double perSecond, int senders, double tokens, long nowMillis) {
        this.tokens = tokens;
        this.refilledAtMillis = nowMillis;
        setRate(perSecond, senders);
    }

    /**
     * Creates a share with no accumulated request.
     *
     * @param perSecond requests per second that all senders together may send.
     * @param senders the number of senders that share the rate.
     * @param phase the point of its cycle at which this sender starts, from 0 up to 1, drawn separately by each sender.
     * @param nowMillis the monotonic time.
     * @return the share.
     */
    public static SharedRateLimiter of(double perSecond, int senders, double phase, long nowMillis) {
        return new SharedRateLimiter(perSecond, senders, phase, nowMillis);
    }

    /**
     * Sets the rate and the number of senders from now on; earned tokens are kept.
     *
     * @param newPerSecond requests per second that all senders together may send.
     * @param newSenders the number of senders that share the rate.
     * @param nowMillis the monotonic time.
     */
    public void reconfigure(double newPerSecond, int newSenders, long nowMillis) {
        refill(nowMillis);
        setRate(newPerSecond, newSenders);
    }

    /**
     * Returns how long this sender must wait before its next request.
     *
     * @param nowMillis the monotonic time.
     * @return milliseconds; 0 if it may send now.
     */
    public long waitMillis(long nowMillis) {
        refill(nowMillis);
        return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / sharePerSecond() * MILLIS_PER_SECOND);
    }

    /**
     * Records a request that is sent now.
     *
     * @param nowMillis the monotonic time.
     */
    public void recordSent(long nowMillis) {
        refill(nowMillis);
        tokens = Math.max(0, tokens - 1);
    }

    private void setRate(double newPerSecond, int newSenders) {
        perSecond = Math.max(MIN_PER_SECOND, newPerSecond);
        senders = Math.max(1, newSenders);
    }

    private double sharePerSecond() {
        return perSecond / senders;
    }

    private void refill(long nowMillis) {
        tokens += Math.max(0, nowMillis - refilledAtMillis) / MILLIS_PER_SECOND * sharePerSecond();
        refilledAtMillis = nowMillis;
        double retentionSeconds = Math.max(BURST_REQUESTS, perSecond) / perSecond;
        double retainedTokens = retentionSeconds * sharePerSecond();
        tokens = retainedTokens >= 1 ? Math.min(1, tokens) : tokens % (1 + retainedTokens);
    }
}
