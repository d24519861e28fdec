package io.waxwingquay.forward;

import java.util.OptionalLong;

/** How far a stream has come at its caller, and how smoothly. */
final class StreamProgress {

    private final long arrivedAtMillis;
    private OptionalLong lastEventId;
    private boolean hasBegun;
    private long firstEventMillis;
    private long lastEventAtMillis;
    private long longestPauseMillis;
    private OptionalLong firstSentAtMillis = OptionalLong.empty();

    StreamProgress(long arrivedAtMillis, OptionalLong lastEventId) {
        this.arrivedAtMillis = arrivedAtMillis;
        this.lastEventId = lastEventId;
    }

    void requestSent(long nowMillis) {
        if (firstSentAtMillis.isEmpty()) {
            firstSentAtMillis = OptionalLong.of(nowMillis);
        }
    }

    /** How long the request waited here before it was sent first; if it was not sent, since it came. */
    long waitedMillis(long nowMillis) {
        return firstSentAtMillis.orElse(nowMillis) - arrivedAtMillis;
    }

    boolean hasBegun() {
        return hasBegun;
    }

    /** The last event that the caller has, of this run or of one before. */
    OptionalLong lastEventId() {
        return lastEventId;
    }

    /** Whether the caller has this event already, from an earlier run of the stream. */
    boolean wasDelivered(OptionalLong id) {
        return id.isPresent() && lastEventId.isPresent() && id.getAsLong() <= lastEventId.getAsLong();
    }

    void eventDelivered(OptionalLong id, long nowMillis) {
        if (!hasBegun) {
            hasBegun = true;
            firstEventMillis = nowMillis - arrivedAtMillis;
            lastEventAtMillis = nowMillis;
        }
        if (id.isPresent()) {
            lastEventId = id;
        }
        longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastEventAtMillis);
        lastEventAtMillis = nowMillis;
    }

    /** How long the caller has had nothing new: since the last event, or since its request came. */
    long callerIdleMillis(long nowMillis) {
        return nowMillis - (hasBegun ? lastEventAtMillis : arrivedAtMillis);
    }

    /** How long the caller waited for the first event. */
    long firstEventMillis() {
        return firstEventMillis;
    }

    long longestPauseMillis() {
        return longestPauseMillis;
    }
}
