package io.waxwingquay.forward;

/** A sum whose parts fade with time: each counts half after one half-life. */
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

    /** What was added each second, if it came at an even pace. */
    double perSecond(long nowMillis) {
        return value(nowMillis) * Math.log(2) / halfLifeMillis * 1_000.0;
    }
}
