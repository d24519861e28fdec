package io.waxwingquay.forward;

import io.waxwingquay.reservation.Rank;
import java.util.Comparator;

/** The position of a request that waits, or may wait, for a slot, and when its choice of a replica is repeated. */
final class QueuedRequest {

    private final ForwardContext context;
    private final RequestTerms terms;
    private final Rank rank;
    private boolean waiting;
    private long recheckAtMillis = Long.MAX_VALUE;

    QueuedRequest(ForwardContext context, RequestTerms terms) {
        this.context = context;
        this.terms = terms;
        this.rank = terms.waitRank();
    }

    /**
     * Returns the order in which requests are checked: those that are not queued first, then by the priority of their
     * accounts and routes, and within it by slack.
     */
    static Comparator<QueuedRequest> checkOrder(long nowMillis) {
        return Comparator.<QueuedRequest, Boolean>comparing(request -> request.waiting)
                .thenComparingInt(request -> request.waiting ? request.rank.accountPriority() : 0)
                .thenComparingInt(request -> request.waiting ? request.rank.routePriority() : 0)
                .thenComparingLong(request -> request.waiting ? request.terms.slackMillis(nowMillis) : 0);
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
        return waiting && context.waitQueues().isFull(terms.queueKey(), nowMillis) && terms.mayWaitForRoom(nowMillis);
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
                waiting ? 0 : context.waitQueues().countAhead(terms.queueKey(), rank) * context.entryCount());
    }

    /**
     * Queues a request that found no free slot, if one is expected while its caller waits. A request that is queued
     * already keeps its place.
     *
     * @return whether it waits.
     */
    boolean enqueueFor(Choice.Full full, long nowMillis) {
        context.waitQueues().markFull(terms.queueKey(), nowMillis);
        long expectedWaitMillis = waiting ? 0 : expectedWaitMillis(full);
        if (!terms.mayEnqueue(expectedWaitMillis, nowMillis)) {
            return false;
        }
        if (!waiting) {
            waiting = true;
            context.waitQueues().joined(terms.queueKey(), rank);
        }
        return true;
    }

    void leaveQueue() {
        if (waiting) {
            waiting = false;
            context.waitQueues().left(terms.queueKey(), rank);
        }
    }
}
