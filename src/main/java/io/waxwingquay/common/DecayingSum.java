package io.waxwingquay.common;

/** A sum that decays exponentially: each amount counts half after one half-life. */
public final class DecayingSum {

    private final double halfLifeMillis;
    private double sum;
    private long updatedAtMillis;

    /**
     * Creates an empty sum.
     *
     * @param halfLifeMillis the time after which an amount counts half.
     */
    public DecayingSum(double halfLifeMillis) {
        this.halfLifeMillis = halfLifeMillis;
    }

    /**
     * Adds an amount.
     *
     * @param amount the amount.
     * @param nowMillis the monotonic time.
     */
    public void add(double amount, long nowMillis) {
        sum = value(nowMillis) + amount;
        updatedAtMillis = nowMillis;
    }

    /**
     * Returns the sum.
     *
     * @param nowMillis the monotonic time.
     * @return what is left of the amounts.
     */
    public double value(long nowMillis) {
        return sum * Math.pow(0.5, (nowMillis - updatedAtMillis) / halfLifeMillis);
    }

    /**
     * Returns the rate per second at which amounts were added, if they came at an even pace.
     *
     * @param nowMillis the monotonic time.
     * @return the rate.
     */
    public double perSecond(long nowMillis) {
        return value(nowMillis) * Math.log(2) / halfLifeMillis * 1_000.0;
    }
}
