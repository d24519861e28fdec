package io.waxwingquay.admission;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a share of first tries. Without it, an overloaded target answers with failures, each
 * failure brings a retry, and the retries keep it overloaded after the first cause is gone. A share bounds
 * the load that retries add, whatever fails. Safe for concurrent use.
 */
public final class RetryBudget {

    private static final long MICRO_TOKENS_PER_RETRY = 1_000_000L;

    private final long earnedMicroTokens;
    private volatile long maximumMicroTokens;
    private final AtomicLong microTokens;

    private RetryBudget(long earnedMicroTokens, long maximumMicroTokens) {
        this.earnedMicroTokens = earnedMicroTokens;
        this.maximumMicroTokens = maximumMicroTokens;
        this.microTokens = new AtomicLong(maximumMicroTokens);
    }

    /**
     * A budget that starts full.
     *
     * @param share retries allowed for each first try, between 0 and 1.
     * @param burst the most retries that may be saved up.
     * @return the budget.
     */
    public static RetryBudget of(double share, int burst) {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("retry share " + share + " is not between 0 and 1");
        }
        return new RetryBudget(Math.round(share * MICRO_TOKENS_PER_RETRY), burst * MICRO_TOKENS_PER_RETRY);
    }

    /**
     * What is left.
     *
     * @return retries that may be sent now.
     */
    public double available() {
        return (double) microTokens.get() / MICRO_TOKENS_PER_RETRY;
    }

    /**
     * Sets how many retries may be saved up from now on. What is saved is cut to that, and never raised: a number that
     * goes down and up again must not fill the budget anew.
     *
     * @param burst the most retries that may be saved up.
     */
    public void limitBurst(int burst) {
        maximumMicroTokens = burst * MICRO_TOKENS_PER_RETRY;
        microTokens.updateAndGet(held -> Math.min(held, maximumMicroTokens));
    }

    /** Notes a first try, which earns a share of a retry. */
    public void noteFirstTry() {
        microTokens.updateAndGet(held -> Math.min(maximumMicroTokens, held + earnedMicroTokens));
    }

    /**
     * Takes one retry out of the budget.
     *
     * @return whether the retry may be sent.
     */
    public boolean tryRetry() {
        long before =
                microTokens.getAndUpdate(held -> held >= MICRO_TOKENS_PER_RETRY ? held - MICRO_TOKENS_PER_RETRY : held);
        return before >= MICRO_TOKENS_PER_RETRY;
    }
}
