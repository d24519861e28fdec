package io.waxwingquay.forward;

import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.origin.StreamOrigins;
import java.util.Optional;
import java.util.OptionalLong;

/** Tracks which events of a stream the caller has received, and how long it waited for them. */
final class StreamProgress {

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private final long arrivedAtMillis;
    private final MessageCodec.RequestHead head;
    private OptionalLong lastEventId;
    private Optional<String> softwareVersion;
    private boolean hasBegun;
    private boolean isLastEventCovered = true;
    private boolean areIdsIncreasing = true;
    private long firstEventMillis;
    private long lastEventAtMillis;
    private long longestPauseMillis;
    private long interruptedAtMillis;
    private OptionalLong firstSentAtMillis = OptionalLong.empty();

    /**
     * Creates the progress of a request that was not sent yet.
     *
     * @param softwareVersion the version that started the stream, if the caller resumes it.
     */
    StreamProgress(long arrivedAtMillis, MessageCodec.RequestHead head, Optional<String> softwareVersion) {
        this.softwareVersion = softwareVersion;
        this.arrivedAtMillis = arrivedAtMillis;
        this.head = head;
        this.lastEventId = head.lastEventId().map(OptionalLong::of).orElse(OptionalLong.empty());
    }

    void requestSent(ReplicaRecord replica, long nowMillis) {
        if (lastEventId.isPresent()) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "forward: stream resumed id={0} started_by={1} started_at={2} last_event={3} replica={4} software={5}",
                    head.id(),
                    head.resumedId().orElse(""),
                    softwareVersion.orElse(""),
                    Long.toString(lastEventId.getAsLong()),
                    replica.id(),
                    replica.softwareVersion());
        }
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

    /**
     * Returns the software version that started the stream, at which alone it may be resumed, as the output of two
     * versions is incompatible. Empty before the first event; a version that no replica has if it is unknown.
     */
    Optional<String> softwareVersion() {
        return softwareVersion;
    }

    /** Notes the version of the replica that sent the first event, if it was unknown at that event. */
    void softwareVersionConfirmed(String version) {
        softwareVersion = softwareVersion.map(known -> known.equals(StreamOrigins.UNKNOWN_VERSION) ? version : known);
    }

    void eventDelivered(Optional<String> replicaSoftwareVersion, OptionalLong id, long nowMillis) {
        if (!hasBegun) {
            hasBegun = true;
            softwareVersion = softwareVersion
                    .or(() -> replicaSoftwareVersion)
                    .or(() -> Optional.of(StreamOrigins.UNKNOWN_VERSION));
            firstEventMillis = nowMillis - arrivedAtMillis;
            lastEventAtMillis = nowMillis;
        }
        noteId(id);
        longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastEventAtMillis);
        lastEventAtMillis = nowMillis;
    }

    private void noteId(OptionalLong id) {
        isLastEventCovered = id.isPresent();
        if (isLastEventCovered) {
            areIdsIncreasing &= lastEventId.isEmpty() || id.getAsLong() > lastEventId.getAsLong();
            lastEventId = id;
        }
    }

    /**
     * Returns whether another run may go on with the stream. Unless all events that went out stand at or before the last
     * id, some of them would come twice, or others not at all.
     */
    boolean isResumable() {
        return isLastEventCovered && areIdsIncreasing;
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
