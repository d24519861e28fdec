package io.waxwingquay.forward;

/** A request as far as it waits, or may wait, here for room. */
final class QueuedRequest {

    private final ForwardContext context;
    private final RequestTerms terms;
    private boolean waits;

    QueuedRequest(ForwardContext context, RequestTerms terms) {
        this.context = context;
        this.terms = terms;
    }

    /** Which of those that wait is looked at first: the lowest. What does not wait comes before. */
    long slackMillis(long nowMillis) {
        return waits ? terms.slackMillis(nowMillis) : Long.MIN_VALUE;
    }

    /** Whether a look would find what one before it in its queue has just found, and its time to wait is not over. */
    boolean canSkipLook(long nowMillis) {
        return waits && context.queues().isFull(terms.queueKey(), nowMillis) && terms.mayWaitForRoom(nowMillis);
    }

    /** How long until room for it is expected; others that wait here are taken to be as many at each entry. */
    long expectedMillis(Choice.Full full) {
        return full.waitMillis(waits ? 0 : context.queues().size(terms.queueKey()) * context.entryCount());
    }

    /**
     * Found no room: waits on if room is expected while its caller is there. One that waits already keeps its place in
     * the queue.
     *
     * @return whether it waits.
     */
    boolean await(Choice.Full full, long nowMillis) {
        context.queues().markFull(terms.queueKey(), nowMillis);
        long placeMillis = waits ? 0 : expectedMillis(full);
        if (!terms.mayEnqueue(placeMillis, nowMillis)) {
            return false;
        }
        if (!waits) {
            waits = true;
            context.queues().joined(terms.queueKey());
        }
        return true;
    }

    void end() {
        if (waits) {
            waits = false;
            context.queues().left(terms.queueKey());
        }
    }
}
