package io.waxwingquay.forward;

import io.waxwingquay.manifest.Route;

/**
 * The outcome of a request.
 *
 * @param head the head of the request.
 * @param route its route.
 * @param service the service that it was sent to.
 * @param status the status that the caller received; 0 if it received no complete response.
 * @param attempts how often it was sent.
 * @param why what decided the outcome.
 * @param arrivedMillis when it arrived, by the monotonic clock.
 * @param stream its waiting time and the progress of its stream.
 * @param slotWait the slots that it asked for.
 */
record Outcome(
        MessageCodec.RequestHead head,
        Route route,
        String service,
        int status,
        int attempts,
        String why,
        long arrivedMillis,
        StreamProgress stream,
        SlotWait slotWait) {

    private static final int OK = 200;
    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    /** Returns whether a stream reached its end, so that its caller has no reason to ask for more of it. */
    boolean isCompleteStream() {
        return status == OK && stream.hasBegun();
    }

    /** Writes the one line by which a request is found from its id. */
    void log(long nowMillis) {
        LOG.log(
                System.Logger.Level.INFO,
                "forward: ended id={0} route={1} service={2} model={3} status={4} sent={5} took_ms={6} first_ms={7} pause_ms={8}"
                        + " waited_ms={9} objective_ms={10} pause_objective_ms={11} slot_ms={12} slots_asked={13}"
                        + " why={14}",
                head.id(),
                route.name(),
                service,
                head.model().orElse("") + head.adapter().map(name -> "/" + name).orElse(""),
                status,
                attempts,
                nowMillis - arrivedMillis,
                stream.firstEventMillis(),
                stream.longestPauseMillis(),
                stream.waitedMillis(nowMillis),
                route.objectiveMillis(),
                route.pauseObjectiveMillis(),
                slotWait.waitedMillis(),
                slotWait.enginesAsked(),
                why);
    }
}
