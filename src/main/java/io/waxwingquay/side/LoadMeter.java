package io.waxwingquay.side;

import io.waxwingquay.common.Clock;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.LoadReport;
import io.waxwingquay.transport.generated.Refusal;
import io.waxwingquay.transport.generated.RefusalReason;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Measures how fast the target works off its queue, and derives from it when a refused caller should return.
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

    synchronized void recordRun(long runMillis) {
        double newest = Math.max(1L, runMillis);
        meanRunMillis = meanRunMillis == 0.0 ? newest : meanRunMillis + SMOOTHING_FACTOR * (newest - meanRunMillis);
    }

    /**
     * Notes the time of a run that brought units.
     *
     * @param runMillis the time from its start.
     * @param units what it brought; 0 tells nothing.
     */
    synchronized void recordUnits(long runMillis, long units) {
        if (units > 0) {
            double newest = (double) runMillis / units;
            meanUnitMillis =
                    meanUnitMillis == 0.0 ? newest : meanUnitMillis + SMOOTHING_FACTOR * (newest - meanUnitMillis);
        }
    }

    /** The expected time of a run that brings so many units; 0 before any was measured. */
    synchronized double estimatedRunMillis(long units) {
        return meanUnitMillis * units;
    }

    void recordToken() {
        tokenRate.add(1.0);
    }

    /**
     * Attempts that the target can finish a second, or 0 when none was seen to tell.
     *
     * <p>It is the number run at once over the mean time of a run. Failure: counting attempts finished a second
     * instead measures demand, which is low on an idle target. Symptom: the first burst after a quiet time is refused
     * because its queue seems to take minutes. The time of a run does not depend on how many callers came.
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

    /** The time to work off the queue, spread so that refused callers do not return together. */
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
     * What is inside now.
     *
     * @param running attempts handed to the target.
     * @param queued attempts waiting.
     * @param queuedTokens tokens wanted by those waiting.
     * @param maxConcurrent attempts the target runs at once.
     */
    record Counts(int running, int queued, long queuedTokens, int maxConcurrent) {}
}
