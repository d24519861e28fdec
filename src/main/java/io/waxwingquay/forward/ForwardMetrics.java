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
}
