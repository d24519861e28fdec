package io.waxwingquay.forward;

import java.util.OptionalInt;

/** What the replies of the side process of one engine to requests for slots have told, or their absence. */
final class SlotReplies {

    /** How long a side process that did not reply is asked for no slot. */
    private static final long SILENCE_MILLIS = 2_000L;

    /**
     * How long no slot is asked for after the side process had lost its engine. A crashed engine is away for seconds; the
     * next request that is denied prolongs the time.
     */
    private static final long ENGINE_LOST_MILLIS = 500L;

    private int load;
    private long engineLostUntilMillis = Long.MIN_VALUE;
    private long repliedAtMillis = Long.MIN_VALUE;
    private long silentUntilMillis = Long.MIN_VALUE;

    /**
     * Notes a reply.
     *
     * @param statedLoad the requests in the engine and the granted slots.
     * @param nowMillis the monotonic time.
     */
    void replied(int statedLoad, long nowMillis) {
        load = statedLoad;
        repliedAtMillis = nowMillis;
    }

    /** Notes that the side process has not replied in time. */
    void silent(long nowMillis) {
        silentUntilMillis = nowMillis + SILENCE_MILLIS;
    }

    /** Notes that the side process has replied that its engine was lost or is about to leave. */
    void engineLost(long nowMillis) {
        engineLostUntilMillis = nowMillis + ENGINE_LOST_MILLIS;
    }

    boolean isEngineLost(long nowMillis) {
        return nowMillis < engineLostUntilMillis;
    }

    boolean isSilent(long nowMillis) {
        return nowMillis < silentUntilMillis;
    }

    /** Returns the load that the last reply stated, unless something newer is known since this time. */
    OptionalInt loadSince(long knownAtMillis) {
        return repliedAtMillis >= knownAtMillis && repliedAtMillis != Long.MIN_VALUE
                ? OptionalInt.of(load)
                : OptionalInt.empty();
    }
}
