package io.waxwingquay.admission;

import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.RefusalReason;
import java.util.EnumSet;
import java.util.Set;

/**
 * Which failures may be tried again.
 */
public enum RetryPolicy {
    /** A repeated run does no harm, as with a generation: an unknown outcome may be tried again too. */
    IDEMPOTENT,
    /** Only what certainly did not run may be tried again. */
    AT_MOST_ONCE;

    private static final Set<RefusalReason> FINAL =
            EnumSet.of(RefusalReason.QUARANTINED, RefusalReason.DEADLINE, RefusalReason.MALFORMED);
    private static final Set<RefusalReason> CHEAP =
            EnumSet.of(RefusalReason.NOT_RESIDENT, RefusalReason.LEAVING, RefusalReason.OVERLOADED);

    /**
     * Whether a failed try may be followed by another.
     *
     * @param execution what became of the failed try.
     * @param reason why it failed.
     * @param remainingMillis time left before the deadline.
     * @param neededMillis time that another try is expected to need.
     * @return whether another try is allowed.
     */
    public boolean allows(Execution execution, RefusalReason reason, long remainingMillis, long neededMillis) {
        if (FINAL.contains(reason) || remainingMillis <= neededMillis) {
            return false;
        }
        return execution == Execution.DID_NOT_RUN || this == IDEMPOTENT;
    }

    /**
     * Whether a refusal cost its side next to nothing, so that asking another side needs no retry budget.
     *
     * @param reason why the side refused.
     * @return whether it was refused at the door.
     */
    public static boolean isCheap(RefusalReason reason) {
        return CHEAP.contains(reason);
    }
}
