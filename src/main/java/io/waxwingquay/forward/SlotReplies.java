package io.waxwingquay.forward;

import java.util.OptionalInt;

/** What the replies of the side process of one engine to requests for slots have told, or their absence. */
final class SlotReplies {

    /** How long a side process that did not reply is asked for no slot. */
    private static final long SILENCE_MILLIS = 2_000L;

    private int load;
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
