package io.waxwingquay.reservation;

import io.waxwingquay.common.DecayingSum;
import java.util.Set;

/**
 * Estimates how fast the slots of an engine become free. The mean run time is the time that requests have spent running
 * divided by the number that ended, so that the estimate also holds for a full engine while this one is partly idle.
 */
final class SlotRate {

    private static final double HALF_LIFE_MILLIS = 4_000.0;

    /** The number of ended requests that the prior counts as. */
    private static final double PRIOR_ENDED = 1.0;

    /** 50 ms for an event of 8 tokens, the usual pace before any request has ended. */
    private static final double PRIOR_MILLIS_PER_TOKEN = 50.0 / 8;

    private static final double PRIOR_RUN_MILLIS = 2_000.0;
    private static final double MIN_RUN_MILLIS = 50.0;
    private static final double PRIOR_SMOOTHING = 0.05;

    /** Reports that are further apart do not tell what ran between them. */
    private static final long MAX_REPORT_GAP_MILLIS = 1_000L;

    private final DecayingSum runMillis = new DecayingSum(HALF_LIFE_MILLIS);
    private final DecayingSum ended = new DecayingSum(HALF_LIFE_MILLIS);
    private double priorRunMillis = PRIOR_RUN_MILLIS;
    private Set<String> running = Set.of();
    private long observedMillis = Long.MIN_VALUE / 2;

    /** Takes the expected length of a requested answer into the prior. */
    void requested(long outputTokens) {
        if (outputTokens > 0) {
            priorRunMillis += PRIOR_SMOOTHING * (outputTokens * PRIOR_MILLIS_PER_TOKEN - priorRunMillis);
        }
    }

    /** Takes the attempts that a report lists as running. */
    void observed(Set<String> attemptIds, long nowMillis) {
        long elapsedMillis = nowMillis - observedMillis;
        if (elapsedMillis <= MAX_REPORT_GAP_MILLIS) {
            long endedCount =
                    running.stream().filter(id -> !attemptIds.contains(id)).count();
            runMillis.add((double) running.size() * elapsedMillis, nowMillis);
            ended.add(endedCount, nowMillis);
        }
        running = attemptIds;
        observedMillis = nowMillis;
    }

    /** Forgets which attempts run, as the engine restarted; their ends are not known. */
    void restarted() {
        running = Set.of();
        observedMillis = Long.MIN_VALUE / 2;
    }

    /** Returns the slots per millisecond that become free while all of the given number are in use. */
    double perMilli(int slots, long nowMillis) {
        double meanRunMillis =
                (runMillis.value(nowMillis) + PRIOR_ENDED * priorRunMillis) / (ended.value(nowMillis) + PRIOR_ENDED);
        return slots / Math.max(MIN_RUN_MILLIS, meanRunMillis);
    }
}
