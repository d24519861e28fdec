package io.waxwingquay.side;

import io.waxwingquay.common.Clock;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.LoadReport;
import io.waxwingquay.transport.generated.Refusal;
import io.waxwingquay.transport.generated.RefusalReason;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Measures the throughput of the target, and derives the retry-after delay of rejected requests from it. Safe for
 * concurrent use.
 */
final class LoadMeter {

    private static final long TIME_CONSTANT_MILLIS = 10_000L;
    private static final long MIN_RETRY_AFTER_MILLIS = 50L;
    private static final long MAX_RETRY_AFTER_MILLIS = 30_000L;
    private static final double DEFAULT_THROUGHPUT_PER_SECOND = 1.0;
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final RandomGenerator random;
    private final DecayedRate tokenRate;
    private final LongSupplier freeBytes;
    private volatile Counts counts = new Counts(0, 0, 0L, 0);
    private double meanRunMillis;
    private double meanUnitMillis;

    LoadMeter(Clock clock, RandomGenerator random, LongSupplier freeBytes) {
        this.random = random;
        this.tokenRate = new DecayedRate(clock, TIME_CONSTANT_MILLIS);
        this.freeBytes = freeBytes;
    }

    void setCounts(Counts newCounts) {
        counts = newCounts;
    }

    Counts counts() {
        return counts;
    }

    /** Records the duration of a finished run. */
    synchronized void recordRun(long runMillis) {
        double newest = Math.max(1L, runMillis);
        meanRunMillis = meanRunMillis == 0.0 ? newest : meanRunMillis + SMOOTHING_FACTOR * (newest - meanRunMillis);
    }

    /**
     * Records how long a run took per unit.
     *
     * @param runMillis the duration of the run.
     * @param units the units that the run produced; a run of 0 units is not counted.
     */
    synchronized void recordUnits(long runMillis, long units) {
        if (units > 0) {
            double newest = (double) runMillis / units;
            meanUnitMillis =
                    meanUnitMillis == 0.0 ? newest : meanUnitMillis + SMOOTHING_FACTOR * (newest - meanUnitMillis);
        }
    }

    /** Estimates the duration of a run that produces a number of units; 0 before the first measurement. */
    synchronized double estimatedRunMillis(long units) {
        return meanUnitMillis * units;
    }

    void recordToken() {
        tokenRate.add(1.0);
    }

    /**
     * Returns the number of attempts that the target can finish per second, or 0 if no run has been measured.
     *
     * <p>The throughput is the number of slots divided by the mean run time. The rate of finished attempts would
     * measure demand instead, which is low on an idle target: the first burst after a quiet period would be rejected,
     * as its queue would seem to take minutes. Unlike that rate, the run time does not depend on the number of callers.
     */
    synchronized double throughputPerSecond() {
        return meanRunMillis == 0.0 ? 0.0 : counts.maxConcurrent() * MILLIS_PER_SECOND / meanRunMillis;
    }

    LoadReport report() {
        Counts current = counts;
        return new LoadReport(
                current.running(),
                current.queued(),
                current.queuedTokens(),
                tokenRate.perSecond(),
                freeBytes.getAsLong(),
                0L);
    }

    Refusal refusal(RefusalReason reason, String message, Execution execution) {
        return new Refusal(reason, message, retryAfterMillis(), execution);
    }

    /** Returns the expected time to empty the queue, with jitter so that rejected callers do not retry all at once. */
    private long retryAfterMillis() {
        double perSecond = throughputPerSecond() > 0.0 ? throughputPerSecond() : DEFAULT_THROUGHPUT_PER_SECOND;
        double waitMillis = (counts.queued() + 1) / perSecond * MILLIS_PER_SECOND;
        double jitter;
        synchronized (random) {
            jitter = 0.5 + random.nextDouble();
        }
        return Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, (long) (waitMillis * jitter)));
    }

    /**
     * The number of attempts on this side.
     *
     * @param running the attempts that the target runs.
     * @param queued the attempts in the queue.
     * @param queuedTokens the largest number of tokens that the queued attempts may produce.
     * @param maxConcurrent the slots of the target.
     */
    record Counts(int running, int queued, long queuedTokens, int maxConcurrent) {}
}
