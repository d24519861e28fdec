package io.waxwingquay.forward;

/**
 * Counts what becomes of requests.
 */
public interface ForwardMetrics {

    /**
     * A request has its final answer.
     *
     * @param status the status that its caller got; 0 if it got no whole answer.
     * @param tookMillis how long that took.
     */
    void ended(int status, long tookMillis);

    /** A request matched no route. */
    void unrouted();
}
