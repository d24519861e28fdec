package io.waxwingquay.forward;

import java.util.OptionalLong;

/** Tracks which events of a stream the caller has received, and how long it waited for them. */
final class StreamProgress {

    private final long arrivedAtMillis;
    private OptionalLong lastEventId;
    private boolean hasBegun;
    private long firstEventMillis;
    private long lastEventAtMillis;
    private long longestPauseMillis;
    private long interruptedAtMillis;
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

    /** Returns how long the request waited before its first attempt, or has waited so far if there is none. */
    long waitedMillis(long nowMillis) {
        return firstSentAtMillis.orElse(nowMillis) - arrivedAtMillis;
    }

    boolean hasBegun() {
        return hasBegun;
    }

    /** Returns the last event that the caller received, from this run of the stream or an earlier one. */
    OptionalLong lastEventId() {
        return lastEventId;
    }

    /** Returns whether the caller has received this event already, from an earlier run of the stream. */
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

    void interrupted(long nowMillis) {
        interruptedAtMillis = nowMillis;
    }

    /** Returns how long ago the stream was interrupted last. */
    long interruptedMillis(long nowMillis) {
        return nowMillis - interruptedAtMillis;
    }

    /** Returns the time since the caller received the last event, or since the request arrived if there is none. */
    long callerIdleMillis(long nowMillis) {
        return nowMillis - (hasBegun ? lastEventAtMillis : arrivedAtMillis);
    }

    /** Returns how long the caller waited for the first event. */
    long firstEventMillis() {
        return firstEventMillis;
    }

    long longestPauseMillis() {
        return longestPauseMillis;
    }
}
