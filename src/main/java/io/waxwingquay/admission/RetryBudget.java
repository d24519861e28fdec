package io.waxwingquay.admission;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Limits retries to a share of first tries. Without it, an overloaded target answers with failures, each
 * failure brings a retry, and the retries keep it overloaded after the first cause is gone. A share bounds
 * the load that retries add, whatever fails. Safe for concurrent use.
 *
 * <p>Several senders may share one bound. Failure: there are many, the part of each is less than one retry, and each may
 * save up one all the same. Symptom: when a quiet service fails, as many retries at once as there are senders. So what a
 * sender holds without having earned it is none or one, drawn so that the parts add up, and what it has earned beyond that
 * lapses once it sends nothing more.
 */
public final class RetryBudget {

    private static final long MICRO_TOKENS_PER_RETRY = 1_000_000L;

    /** What was earned by first tries counts for as long as the bound counts those. */
    private static final long EARNED_MILLIS = 10_000L;

    private final long earnedMicroTokens;
    private final double draw;
    private final LongSupplier clockMillis;
    private final AtomicLong microTokens;
    private volatile long burstMicroTokens;
    private volatile long triedMillis;

    private RetryBudget(long earnedMicroTokens, double part, double draw, LongSupplier clockMillis) {
        this.earnedMicroTokens = earnedMicroTokens;
        this.draw = draw;
        this.clockMillis = clockMillis;
        this.burstMicroTokens = burst(part);
        this.microTokens = new AtomicLong(burstMicroTokens);
        this.triedMillis = clockMillis.getAsLong();
    }

    /**
     * A budget that starts full, of a sender with a bound of its own.
     *
     * @param share retries allowed for each first try, between 0 and 1.
     * @param burst the most retries that may be saved up.
     * @return the budget.
     */
    public static RetryBudget of(double share, int burst) {
        return shared(share, burst, 0, () -> 0L);
    }

    /**
     * One sender's part of a budget that several share without talking to each other.
     *
     * @param share retries allowed for each first try, between 0 and 1.
     * @param part the most retries that all may save up, divided by the number of senders.
     * @param draw from 0 up to 1; each sender draws its own.
     * @param clockMillis the steady time.
     * @return the part.
     */
    public static RetryBudget shared(double share, double part, double draw, LongSupplier clockMillis) {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("retry share " + share + " is not between 0 and 1");
        }
        return new RetryBudget(Math.round(share * MICRO_TOKENS_PER_RETRY), part, draw, clockMillis);
    }

    /**
     * What is left.
     *
     * @return retries that may be sent now.
     */
    public double availableRetries() {
        return (double) microTokens.get() / MICRO_TOKENS_PER_RETRY;
    }

    /**
     * Sets how many retries may be saved up from now on. What is saved is cut to that, and never raised: a number that
     * goes down and up again must not fill the budget anew.
     *
     * @param part the most retries that may be saved up; of several senders, divided by their number.
     */
    public void limitBurst(double part) {
        burstMicroTokens = burst(part);
        microTokens.updateAndGet(held -> Math.min(held, mostMicroTokens()));
    }

    /** Notes a first try, which earns a share of a retry. */
    public void recordFirstAttempt() {
        lapse();
        triedMillis = clockMillis.getAsLong();
        microTokens.updateAndGet(held -> Math.min(mostMicroTokens(), held + earnedMicroTokens));
    }

    /**
     * Takes one retry out of the budget.
     *
     * @return whether the retry may be sent.
     */
    public boolean tryAcquire() {
        lapse();
        long before =
                microTokens.getAndUpdate(held -> held >= MICRO_TOKENS_PER_RETRY ? held - MICRO_TOKENS_PER_RETRY : held);
        return before >= MICRO_TOKENS_PER_RETRY;
    }

    private void lapse() {
        if (clockMillis.getAsLong() - triedMillis > EARNED_MILLIS) {
            microTokens.updateAndGet(held -> Math.min(held, burstMicroTokens));
        }
    }

    private long burst(double part) {
        return (long) (part + draw) * MICRO_TOKENS_PER_RETRY;
    }

    /** Whatever its part, a sender may earn a whole retry. */
    private long mostMicroTokens() {
        return Math.max(MICRO_TOKENS_PER_RETRY, burstMicroTokens);
    }
}
