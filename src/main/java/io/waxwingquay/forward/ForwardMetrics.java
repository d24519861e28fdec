package io.waxwingquay.forward;

/** Counts requests by outcome. */
public interface ForwardMetrics {

    /**
     * Counts a request that has its final response.
     *
     * @param status the status that the caller received; 0 if it received no complete response.
     * @param tookMillis how long that took.
     */
    void ended(int status, long tookMillis);

    /** Counts a request that matched no route. */
    void unrouted();

    /** Counts a request whose key no client account holds. */
    void unauthorized();

    /** Counts a request refused because the quota of its client account is spent. */
    void overQuota();

    /** Counts a request for which another replica is sought, as its own is silent. */
    void silentReplica();

    /** Counts a request that goes on at its silent replica, as that one answered first or no other one took it over. */
    void returnedToSilentReplica();

    /**
     * Counts an attempt that ended as if its replica had crashed.
     *
     * @param phase how far the answer had come, such as {@code within_answer}.
     */
    default void crashSuspected(String phase) {}

    /**
     * Counts a stream that its caller resumes.
     *
     * @param source who stated the software version that started it, such as {@code report} or {@code nobody}.
     */
    default void resumedByCaller(String source) {}

    /**
     * Returns the counts of requests for slots.
     *
     * @return the counts; by default they are not kept.
     */
    default SlotMetrics slots() {
        return new SlotMetrics.Disabled();
    }
}
