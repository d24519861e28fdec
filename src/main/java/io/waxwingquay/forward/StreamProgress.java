package io.waxwingquay.forward;

import java.util.OptionalLong;

/** How far a stream has come at its caller, and how smoothly. */
final class StreamProgress {

    private final long arrivedMillis;
    private OptionalLong lastEventId;
    private boolean began;
    private long firstEventMillis;
    private long heardMillis;
    private long longestPauseMillis;
    private OptionalLong firstSentMillis = OptionalLong.empty();

    StreamProgress(long arrivedMillis, OptionalLong lastEventId) {
        this.arrivedMillis = arrivedMillis;
        this.lastEventId = lastEventId;
    }

    void sent(long nowMillis) {
        if (firstSentMillis.isEmpty()) {
            firstSentMillis = OptionalLong.of(nowMillis);
        }
    }

    /** How long the request waited here before it was sent first; if it was not sent, since it came. */
    long waitedMillis(long nowMillis) {
        return firstSentMillis.orElse(nowMillis) - arrivedMillis;
    }

    boolean began() {
        return began;
    }

    /** The last event that the caller has, of this run or of one before. */
    OptionalLong lastEventId() {
        return lastEventId;
    }

    /** Whether the caller has this event already, from an earlier run of the stream. */
    boolean has(OptionalLong id) {
        return id.isPresent() && lastEventId.isPresent() && id.getAsLong() <= lastEventId.getAsLong();
    }

    void passed(OptionalLong id, long nowMillis) {
        if (!began) {
            began = true;
            firstEventMillis = nowMillis - arrivedMillis;
            heardMillis = nowMillis;
        }
        if (id.isPresent()) {
            lastEventId = id;
        }
        longestPauseMillis = Math.max(longestPauseMillis, nowMillis - heardMillis);
        heardMillis = nowMillis;
    }

    /** How long the caller has had nothing new: since the last event, or since its request came. */
    long callerSilentMillis(long nowMillis) {
        return nowMillis - (began ? heardMillis : arrivedMillis);
    }

    /** How long the caller waited for the first event. */
    long firstEventMillis() {
        return firstEventMillis;
    }

    long longestPauseMillis() {
        return longestPauseMillis;
    }
}
