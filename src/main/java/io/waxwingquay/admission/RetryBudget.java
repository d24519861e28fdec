package io.waxwingquay.admission;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Token bucket that limits retries to a fraction of first attempts. Without it, an overloaded target answers with
 * failures, each failure causes a retry, and the retries keep the target overloaded after the original cause is gone.
 * The fraction bounds the load that retries add, whatever fails. Safe for concurrent use.
 *
 * <p>Several senders may share one budget without coordination. When there are many, the burst share of each is less
 * than one retry. If each rounded it up, as many retries as there are senders would be sent at once when an idle
 * service fails. The unearned tokens of a sender are therefore none or one whole retry, rounded at random so that the
 * shares add up to the burst, and tokens earned beyond that expire once the sender makes no more first attempts.
 */
public final class RetryBudget {

    private static final long MICRO_TOKENS_PER_RETRY = 1_000_000L;

    /** How long earned tokens stay valid; the shared bound counts first attempts over the same period. */
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
     * Creates a full budget for a sender that shares it with no other.
     *
     * @param retryRatio retries allowed per first attempt, between 0 and 1.
     * @param burst the most retries that may accumulate.
     * @return the budget.
     */
    public static RetryBudget of(double retryRatio, int burst) {
        return shared(retryRatio, burst, 0, () -> 0L);
    }

    /**
     * Creates one sender's share of a budget that several senders share without coordination.
     *
     * @param retryRatio retries allowed per first attempt, between 0 and 1.
     * @param burstShare the most retries that may accumulate over all senders, divided by the number of senders.
     * @param roundingOffset a random number from 0 up to 1, drawn separately by each sender, that rounds its burst
     *     share.
     * @param clockMillis the monotonic time.
     * @return the share.
     */
    public static RetryBudget shared(
            double retryRatio, double burstShare, double roundingOffset, LongSupplier clockMillis) {
        if (!(retryRatio >= 0 && retryRatio <= 1)) {
            throw new IllegalArgumentException("retry ratio " + retryRatio + " is not between 0 and 1");
        }
        return new RetryBudget(
                Math.round(retryRatio * MICRO_TOKENS_PER_RETRY), burstShare, roundingOffset, clockMillis);
    }

    /**
     * Returns the remaining budget.
     *
     * @return retries that may be sent now.
     */
    public double availableRetries() {
        return (double) microTokens.get() / MICRO_TOKENS_PER_RETRY;
    }

    /**
     * Sets how many retries may accumulate from now on. Accumulated tokens are cut to the new limit and never raised: a
     * limit that shrinks and grows again must not refill the budget.
     *
     * @param burstShare the most retries that may accumulate; for several senders, divided by their number.
     */
    public void limitBurst(double burstShare) {
        burstMicroTokens = roundedBurstMicroTokens(burstShare);
        microTokens.updateAndGet(current -> Math.min(current, maxMicroTokens()));
    }

    /** Records a first attempt, which earns a fraction of a retry. */
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

    /** A sender may earn a whole retry, however small its burst share. */
    private long maxMicroTokens() {
        return Math.max(MICRO_TOKENS_PER_RETRY, burstMicroTokens);
    }
}
