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
    private static final long EARNED_RETENTION_MILLIS = 10_000L;

    private final long microTokensPerAttempt;
    private final double roundingOffset;
    private final LongSupplier clockMillis;
    private final AtomicLong microTokens;
    private volatile long burstMicroTokens;
    private volatile long lastAttemptMillis;

    private RetryBudget(
            long microTokensPerAttempt, double burstShare, double roundingOffset, LongSupplier clockMillis) {
        this.microTokensPerAttempt = microTokensPerAttempt;
        this.roundingOffset = roundingOffset;
        this.clockMillis = clockMillis;
        this.burstMicroTokens = roundedBurstMicroTokens(burstShare);
        this.microTokens = new AtomicLong(burstMicroTokens);
        this.lastAttemptMillis = clockMillis.getAsLong();
    }

    /**
     * A budget that starts full, of a sender with a bound of its own.
     *
     * @param retryRatio retries allowed for each first try, between 0 and 1.
     * @param burst the most retries that may be saved up.
     * @return the budget.
     */
    public static RetryBudget of(double retryRatio, int burst) {
        return shared(retryRatio, burst, 0, () -> 0L);
    }

    /**
     * One sender's part of a budget that several share without talking to each other.
     *
     * @param retryRatio retries allowed for each first try, between 0 and 1.
     * @param burstShare the most retries that all may save up, divided by the number of senders.
     * @param roundingOffset from 0 up to 1; each sender draws its own.
     * @param clockMillis the steady time.
     * @return the part.
     */
    public static RetryBudget shared(
            double retryRatio, double burstShare, double roundingOffset, LongSupplier clockMillis) {
        if (!(retryRatio >= 0 && retryRatio <= 1)) {
            throw new IllegalArgumentException("retry share " + retryRatio + " is not between 0 and 1");
        }
        return new RetryBudget(
                Math.round(retryRatio * MICRO_TOKENS_PER_RETRY), burstShare, roundingOffset, clockMillis);
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
     * @param burstShare the most retries that may be saved up; of several senders, divided by their number.
     */
    public void limitBurst(double burstShare) {
        burstMicroTokens = roundedBurstMicroTokens(burstShare);
        microTokens.updateAndGet(current -> Math.min(current, maxMicroTokens()));
    }

    /** Notes a first try, which earns a share of a retry. */
    public void recordFirstAttempt() {
        expireEarnedTokens();
        lastAttemptMillis = clockMillis.getAsLong();
        microTokens.updateAndGet(current -> Math.min(maxMicroTokens(), current + microTokensPerAttempt));
    }

    /**
     * Takes one retry out of the budget.
     *
     * @return whether the retry may be sent.
     */
    public boolean tryAcquire() {
        expireEarnedTokens();
        long before = microTokens.getAndUpdate(
                current -> current >= MICRO_TOKENS_PER_RETRY ? current - MICRO_TOKENS_PER_RETRY : current);
        return before >= MICRO_TOKENS_PER_RETRY;
    }

    private void expireEarnedTokens() {
        if (clockMillis.getAsLong() - lastAttemptMillis > EARNED_RETENTION_MILLIS) {
            microTokens.updateAndGet(current -> Math.min(current, burstMicroTokens));
        }
    }

    private long roundedBurstMicroTokens(double burstShare) {
        return (long) (burstShare + roundingOffset) * MICRO_TOKENS_PER_RETRY;
    }

    /** Whatever its part, a sender may earn a whole retry. */
    private long maxMicroTokens() {
        return Math.max(MICRO_TOKENS_PER_RETRY, burstMicroTokens);
    }
}
