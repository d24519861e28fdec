package io.waxwingquay.admission;

import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.RefusalReason;
import java.util.EnumSet;
import java.util.Set;

/**
 * Decides which failed attempts may be retried.
 */
public enum RetryPolicy {
    /** A repeated run does no harm, as with a text generation: an attempt with unknown outcome may be retried too. */
    IDEMPOTENT,
    /** Only an attempt that certainly did not run may be retried. */
    AT_MOST_ONCE;

    private static final Set<RefusalReason> NEVER_RETRIED =
            EnumSet.of(RefusalReason.QUARANTINED, RefusalReason.DEADLINE, RefusalReason.MALFORMED);
    private static final Set<RefusalReason> CHEAP =
            EnumSet.of(RefusalReason.NOT_RESIDENT, RefusalReason.LEAVING, RefusalReason.OVERLOADED);

    /**
     * Returns whether a failed attempt may be followed by a retry.
     *
     * @param execution whether the failed attempt ran.
     * @param reason why it failed.
     * @param remainingMillis time left before the deadline.
     * @param neededMillis time that a retry is expected to need.
     * @return whether a retry is allowed.
     */
    public boolean allows(Execution execution, RefusalReason reason, long remainingMillis, long neededMillis) {
        if (NEVER_RETRIED.contains(reason) || remainingMillis <= neededMillis) {
            return false;
        }
        return execution == Execution.DID_NOT_RUN || this == IDEMPOTENT;
    }

    /**
     * Returns whether a rejection cost its side next to nothing, so that a retry on another side needs no retry budget.
     *
     * @param reason why the side rejected the request.
     * @return whether it was rejected at admission.
     */
    public static boolean isCheap(RefusalReason reason) {
        return CHEAP.contains(reason);
    }
}
