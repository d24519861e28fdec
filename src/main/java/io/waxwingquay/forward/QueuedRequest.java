package io.waxwingquay.forward;

/** A request as far as it waits, or may wait, here for room. */
final class QueuedRequest {

    private final ForwardContext context;
    private final RequestTerms terms;
    private boolean waiting;

    QueuedRequest(ForwardContext context, RequestTerms terms) {
        this.context = context;
        this.terms = terms;
    }

    /** Which of those that wait is looked at first: the lowest. What does not wait comes before. */
    long slackMillis(long nowMillis) {
        return waiting ? terms.slackMillis(nowMillis) : Long.MIN_VALUE;
    }

    /** Whether a look would find what one before it in its queue has just found, and its time to wait is not over. */
    boolean canSkipCheck(long nowMillis) {
        return waiting && context.waitQueues().isFull(terms.queueKey(), nowMillis) && terms.mayWaitForRoom(nowMillis);
    }

    /** How long until room for it is expected; others that wait here are taken to be as many at each entry. */
    long expectedWaitMillis(Choice.Full full) {
        return full.expectedWaitMillis(
                waiting ? 0 : context.waitQueues().size(terms.queueKey()) * context.entryCount());
    }

    /**
     * Found no room: waits on if room is expected while its caller is there. One that waits already keeps its place in
     * the queue.
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
            context.waitQueues().joined(terms.queueKey());
        }
        return true;
    }

    void leaveQueue() {
        if (waiting) {
            waiting = false;
            context.waitQueues().left(terms.queueKey());
        }
    }
}
