package io.waxwingquay.forward;

/**
 * What one incarnation of a replica has announced in its own answers. It holds for as long as the incarnation lives,
 * whatever the platform's list or the process beside an engine states.
 */
final class ReplicaAnnouncements {

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private final ReplicaRateLimit rateLimit = new ReplicaRateLimit();
    private boolean leaving;
    private long refusesUntilMillis = Long.MIN_VALUE;

    /**
     * Notes that an answer announced that the replica is about to leave.
     *
     * @param replica the id of the replica, for logs.
     */
    void leaving(String replica) {
        if (!leaving) {
            leaving = true;
            LOG.log(System.Logger.Level.INFO, "forward: replica leaves id={0} told_by=answer", replica);
        }
    }

    ReplicaRateLimit rateLimit() {
        return rateLimit;
    }

    boolean isLeaving() {
        return leaving;
    }

    /**
     * Notes that the replica refused a request and wants none for a time. A refusal that ends earlier than one before it
     * changes nothing.
     *
     * @param replica the id of the replica, for logs.
     * @param forMillis how long it wants no request.
     * @param nowMillis the monotonic time.
     */
    void refusing(String replica, long forMillis, long nowMillis) {
        if (refusalMillis(nowMillis) == 0) {
            LOG.log(System.Logger.Level.INFO, "forward: replica refuses id={0} for_ms={1}", replica, forMillis);
        }
        refusesUntilMillis = Math.max(refusesUntilMillis, nowMillis + forMillis);
    }

    /** Returns how long the replica still wants no request; 0 if it accepts them. */
    long refusalMillis(long nowMillis) {
        return refusesUntilMillis > nowMillis ? refusesUntilMillis - nowMillis : 0;
    }
}
