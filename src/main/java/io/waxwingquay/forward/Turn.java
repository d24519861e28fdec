package io.waxwingquay.forward;

/** The turn of one request in the line of those that wait here for the same places. */
final class Turn {

    private final ForwardContext context;
    private final RequestTerms terms;
    private boolean waits;

    Turn(ForwardContext context, RequestTerms terms) {
        this.context = context;
        this.terms = terms;
    }

    /** Which of those that wait is looked at first: the lowest. What does not wait comes before. */
    long slackMillis(long nowMillis) {
        return waits ? terms.slackMillis(nowMillis) : Long.MIN_VALUE;
    }

    /** Whether a look would find what one before it in the line has just found, and its time to wait is not over. */
    boolean isToBePassedOver(long nowMillis) {
        return waits && context.lines().isFull(terms.line(), nowMillis) && terms.mayWaitForRoom(nowMillis);
    }

    /** How long until it is expected to have a place; others that wait here are taken to be as many at each entry. */
    long expectedMillis(Choice.Full full) {
        return full.waitMillis(waits ? 0 : context.lines().size(terms.line()) * context.entryCount());
    }

    /**
     * Found no place: waits on if its answer is expected to begin while its caller is there. One that waits already keeps
     * its turn.
     *
     * @return whether it waits.
     */
    boolean await(Choice.Full full, long nowMillis) {
        context.lines().foundFull(terms.line(), nowMillis);
        long placeMillis = waits ? 0 : expectedMillis(full);
        if (!terms.mayJoinLine(placeMillis, full.answerMillis(), nowMillis)) {
            return false;
        }
        if (!waits) {
            waits = true;
            context.lines().joined(terms.line());
        }
        return true;
    }

    void end() {
        if (waits) {
            waits = false;
            context.lines().left(terms.line());
        }
    }
}
