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
    private static final double SAVED_REQUESTS = 5.0;

    /** A lower rate is taken for this one; a sender that sends nothing would never hear that the limit is gone. */
    private static final double LEAST_PER_SECOND = 0.01;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private double perSecond;
    private int senders;
    private double earned;
    private long atMillis;

    private SharedRateLimiter(double perSecond, int senders, double earned, long nowMillis) {
        this.earned = earned;
        this.atMillis = nowMillis;
        set(perSecond, senders);
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
        earn(nowMillis);
        set(newPerSecond, newSenders);
    }

    /**
     * How long until this sender may send its next request.
     *
     * @param nowMillis the steady time.
     * @return the time, 0 if it may now.
     */
    public long waitMillis(long nowMillis) {
        earn(nowMillis);
        return earned >= 1 ? 0 : (long) Math.ceil((1 - earned) / partPerSecond() * MILLIS_PER_SECOND);
    }

    /**
     * Notes a request that is sent now.
     *
     * @param nowMillis the steady time.
     */
    public void recordSent(long nowMillis) {
        earn(nowMillis);
        earned = Math.max(0, earned - 1);
    }

    private void set(double newPerSecond, int newSenders) {
        perSecond = Math.max(LEAST_PER_SECOND, newPerSecond);
        senders = Math.max(1, newSenders);
    }

    private double partPerSecond() {
        return perSecond / senders;
    }

    private void earn(long nowMillis) {
        earned += Math.max(0, nowMillis - atMillis) / MILLIS_PER_SECOND * partPerSecond();
        atMillis = nowMillis;
        double validSeconds = Math.max(SAVED_REQUESTS, perSecond) / perSecond;
        double validPart = validSeconds * partPerSecond();
        earned = validPart >= 1 ? Math.min(1, earned) : earned % (1 + validPart);
    }
}
