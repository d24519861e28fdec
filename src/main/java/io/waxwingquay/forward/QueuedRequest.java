package io.waxwingquay.forward;

import io.waxwingquay.reservation.Rank;
import java.util.Comparator;
import java.util.Optional;

/** The position of a request that waits, or may wait, for a slot, and when its choice of a replica is repeated. */
final class QueuedRequest {

    private final ForwardContext context;
    private final RequestTerms terms;
    private final StreamProgress stream;
    private Optional<Place> place = Optional.empty();
    private long recheckAtMillis = Long.MAX_VALUE;

    /**
     * Creates the position of a request that does not wait.
     *
     * @param context the forwarder.
     * @param terms the terms of the request.
     * @param stream the progress of its stream, which limits where and how long it may be resumed.
     */
    QueuedRequest(ForwardContext context, RequestTerms terms, StreamProgress stream) {
        this.context = context;
        this.terms = terms;
        this.stream = stream;
    }

    /**
     * Returns the order in which requests are checked: those that are not queued first, then by the priority of their
     * accounts and routes, and within it by slack. Streams that are resumed precede all other queued requests. The ranks of
     * requests that are not queued are not compared with others, as these come first.
     */
    static Comparator<QueuedRequest> checkOrder(long nowMillis) {
        return Comparator.<QueuedRequest, Boolean>comparing(request -> request.place.isPresent())
                .thenComparingInt(request ->
                        request.place.map(place -> place.rank.accountPriority()).orElse(0))
                .thenComparingInt(request ->
                        request.place.map(place -> place.rank.routePriority()).orElse(0))
                .thenComparingLong(request -> request.place
                        .map(place -> request.slackMillis(nowMillis))
                        .orElse(0L));
    }

    private long slackMillis(long nowMillis) {
        return stream.hasBegun()
                ? WaitPolicy.remainingResumeMillis(stream.interruptedMillis(nowMillis))
                : terms.slackMillis(nowMillis);
    }

    /** Has the choice of a replica repeated after this delay. */
    void recheckIn(long delayMillis, long nowMillis) {
        recheckAtMillis = nowMillis + delayMillis;
        context.checkIn(delayMillis);
    }

    void cancelRecheck() {
        recheckAtMillis = Long.MAX_VALUE;
    }

    boolean isRecheckDue(long nowMillis) {
        return nowMillis >= recheckAtMillis;
    }

    /** Returns when the request has to be checked next, beside the checks of its replica at intervals. */
    long nextCheckMillis() {
        return Math.min(recheckAtMillis, terms.deadlineAtMillis());
    }

    /**
     * Returns whether a check would repeat the result of one before it in its queue, while the time to wait is not
     * over.
     */
    boolean canSkipCheck(long nowMillis) {
        return place.filter(known -> context.waitQueues().isFull(known.name, nowMillis))
                        .isPresent()
                && mayWaitOn(nowMillis);
    }

    private boolean mayWaitOn(long nowMillis) {
        return stream.hasBegun()
                ? WaitPolicy.mayResume(stream.interruptedMillis(nowMillis))
                : terms.mayWaitForRoom(nowMillis);
    }

    /** Returns which engines the request leaves to streams that precede it. */
    SlotYield slotYield() {
        return place.isPresent()
                ? SlotYield.ToResumedStreams.forQueued(context.waitQueues())
                : SlotYield.ToResumedStreams.forUnqueued(context.waitQueues());
    }

    /**
     * Returns how long until a slot is expected; the queues of all entries are assumed to be of the same length.
     *
     * <p>Only requests that are checked before this one precede it. Failure: requests that can wait for long queue for a
     * crowded model. Symptom: if they counted, an urgent request would be rejected at once for each of them that waits
     * at this entry, although it would get the next slot, and the more entries there are the sooner.
     */
    long expectedWaitMillis(Choice.Full full) {
        return full.expectedWaitMillis(
                place.isPresent() || full.isLeftToOthers() ? 0 : countAhead() * context.entryCount());
    }

    private int countAhead() {
        return context.waitQueues().countAhead(terms.queueName(stream), terms.waitRank(stream));
    }

    /**
     * Queues a request that found no free slot, if one is expected while its caller waits. A request that is queued
     * already keeps its place, and a stream that has begun waits as long as it may be resumed.
     *
     * @return whether it waits.
     */
    boolean enqueueFor(Choice.Full full, long nowMillis) {
        if (!full.isLeftToOthers()) {
            context.waitQueues().markFull(terms.queueName(stream), nowMillis);
        }
        long expectedWaitMillis = place.isPresent() ? 0 : expectedWaitMillis(full);
        if (!stream.hasBegun() && !terms.mayEnqueue(expectedWaitMillis, nowMillis)) {
            return false;
        }
        if (place.isEmpty()) {
            Place joined = new Place(terms.queueName(stream), terms.waitRank(stream));
            context.waitQueues().joined(joined.name, joined.rank);
            place = Optional.of(joined);
        }
        return true;
    }

    void leaveQueue() {
        place.ifPresent(left -> context.waitQueues().left(left.name, left.rank));
        place = Optional.empty();
    }

    /** The queue in which a request waits, and its rank there. */
    private record Place(WaitQueues.Name name, Rank rank) {}
}
