package io.waxwingquay.forward;

/** When an engine that sends status updates, or its side process, was heard last, and whether it is unresponsive. */
final class EngineContact {

    /**
     * Time after which an engine with requests from here that was not heard is unresponsive or cut off: five updates of
     * its load, and far more than the pause between two events.
     */
    private static final long UNRESPONSIVE_MILLIS = 1_000L;

    /** The same for an engine without requests from here, in rounds of updates, as it is heard in rounds only. */
    private static final double UNRESPONSIVE_ROUNDS = 2.0;

    /** Time after which an engine with requests from here may be unresponsive: two updates of its load. */
    private static final long DOUBT_MILLIS = 400L;

    private long lastHeardMillis = Long.MIN_VALUE / 2;
    private long busySinceMillis = Long.MIN_VALUE / 2;
    private long unresponsiveAfterMillis = UNRESPONSIVE_MILLIS;

    /** Notes a message of the side process, or bytes of a response of the engine. */
    void heard(long nowMillis) {
        lastHeardMillis = Math.max(lastHeardMillis, nowMillis);
    }

    /** Notes the first request from here since there were none. */
    void busySince(long nowMillis) {
        busySinceMillis = nowMillis;
    }

    /** Sets how long a round of updates takes. */
    void roundMillis(long roundMillis) {
        unresponsiveAfterMillis = Math.max(UNRESPONSIVE_MILLIS, Math.round(UNRESPONSIVE_ROUNDS * roundMillis));
    }

    /**
     * Returns whether the engine was not heard for too long. One without a request from here is heard more rarely, so its
     * limit is longer, and the time counts from its first request on.
     *
     * @param inFlight the requests from here that have not ended.
     * @param nowMillis the monotonic time.
     */
    boolean isUnresponsive(int inFlight, long nowMillis) {
        return inFlight > 0
                ? nowMillis - Math.max(lastHeardMillis, busySinceMillis) > UNRESPONSIVE_MILLIS
                : nowMillis - lastHeardMillis > unresponsiveAfterMillis;
    }

    /**
     * Returns whether the engine was not heard since a request was sent there, or lately.
     *
     * @param sentAtMillis when the request was sent.
     * @param nowMillis the monotonic time.
     */
    boolean mayBeUnresponsive(long sentAtMillis, long nowMillis) {
        return lastHeardMillis < sentAtMillis || nowMillis - lastHeardMillis > DOUBT_MILLIS;
    }
}
