package io.waxwingquay.account;

/** Units that accumulate up to a burst. It may be overdrawn; what is overdrawn has to be earned again. */
final class TokenBucket {

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private double units;
    private long refilledAtMillis;

    TokenBucket(double units, long nowMillis) {
        this.units = units;
        this.refilledAtMillis = nowMillis;
    }

    /** Adds what was earned since the last call. A burst that was lowered cuts what has accumulated. */
    void refill(double perSecond, double burst, long nowMillis) {
        double earned = Math.max(0, nowMillis - refilledAtMillis) / MILLIS_PER_SECOND * perSecond;
        units = Math.min(burst, units + earned);
        refilledAtMillis = Math.max(refilledAtMillis, nowMillis);
    }

    /** Takes units out; a negative number puts them back. */
    void spend(double spentUnits) {
        units -= spentUnits;
    }

    double units() {
        return units;
    }
}
