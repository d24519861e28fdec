package io.waxwingquay.forward;

/** A sum that decays exponentially: each amount counts half after one half-life. */
final class DecayingSum {

    private final double halfLifeMillis;
    private double sum;
    private long updatedAtMillis;

    DecayingSum(double halfLifeMillis) {
        this.halfLifeMillis = halfLifeMillis;
    }

    void add(double amount, long nowMillis) {
        sum = value(nowMillis) + amount;
        updatedAtMillis = nowMillis;
    }

    double value(long nowMillis) {
        return sum * Math.pow(0.5, (nowMillis - updatedAtMillis) / halfLifeMillis);
    }

    /** Returns the rate per second at which amounts were added, if they came at an even pace. */
    double perSecond(long nowMillis) {
        return value(nowMillis) * Math.log(2) / halfLifeMillis * 1_000.0;
    }
}
