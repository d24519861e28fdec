package io.waxwingquay.admission;

/**
 * One sender's part of a rate that several senders keep together without talking to each other.
 *
 * <p>Each sender earns an equal part and may save one request. Failure: there are many senders, each part is far less than
 * one request, and all have saved one when demand comes. Symptom: as many requests at once as there are senders. So where
 * there are many, a saved request lapses soon after it was earned, and senders begin at different points of their cycle:
 * at any time few of them hold one.
 */
public final class SharedRateLimiter {

    /** What all senders together may hold saved: this many requests, or what the rate gives in a second if that is more. */
    private static final double BURST_REQUESTS = 5.0;

    /** A lower rate is taken for this one; a sender that sends nothing would never hear that the limit is gone. */
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
     * A part of a rate, of which nothing is saved yet.
     *
     * @param perSecond requests a second that all senders may send together.
     * @param senders how many share it.
     * @param phase where in its cycle this sender begins, from 0 up to 1; each sender draws its own.
     * @param nowMillis the steady time.
     * @return the part.
     */
    public static SharedRateLimiter of(double perSecond, int senders, double phase, long nowMillis) {
        return new SharedRateLimiter(perSecond, senders, phase, nowMillis);
    }

    /**
     * Sets the rate and the number of senders from now on; what was earned is kept.
     *
     * @param newPerSecond requests a second that all senders may send together.
     * @param newSenders how many share it.
     * @param nowMillis the steady time.
     */
    public void reconfigure(double newPerSecond, int newSenders, long nowMillis) {
        refill(nowMillis);
        setRate(newPerSecond, newSenders);
    }

    /**
     * How long until this sender may send its next request.
     *
     * @param nowMillis the steady time.
     * @return the time, 0 if it may now.
     */
    public long waitMillis(long nowMillis) {
        refill(nowMillis);
        return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / sharePerSecond() * MILLIS_PER_SECOND);
    }

    /**
     * Notes a request that is sent now.
     *
     * @param nowMillis the steady time.
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
