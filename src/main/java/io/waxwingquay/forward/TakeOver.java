package io.waxwingquay.forward;

import io.waxwingquay.net.EventLoop;
import java.util.function.Supplier;

/**
 * The search for another replica for a request whose replica is silent. A sound replica may be silent for a second and go
 * on, so its attempt is kept until another replica has begun to answer. If none does, the request goes on where it was.
 */
final class TakeOver {

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private final ForwardContext context;
    private final MessageCodec.RequestHead head;
    private final CurrentAttempt attempt;
    private final RetryRules retries;
    private final StreamProgress stream;
    private final SlotWait slotWait;
    private final QueuedRequest queuedRequest;
    private final Supplier<ExchangeState> state;

    /**
     * Creates the search of a request that is not silent.
     *
     * @param parts the parts of the request that the search depends on.
     * @param state the present state of the request.
     */
    TakeOver(Parts parts, Supplier<ExchangeState> state) {
        this.context = parts.context;
        this.head = parts.head;
        this.attempt = parts.attempt;
        this.retries = parts.retries;
        this.stream = parts.stream;
        this.slotWait = parts.slotWait;
        this.queuedRequest = parts.queuedRequest;
        this.state = state;
    }

    /**
     * Begins the search if another replica could take the request over.
     *
     * @param stalled the running attempt.
     * @return whether another replica is to be chosen.
     */
    boolean begin(Attempt stalled, long nowMillis) {
        if (!stream.isResumable() || !retries.canRetryElsewhere(stream, nowMillis) || !retries.tryAcquire()) {
            return false;
        }
        LOG.log(
                System.Logger.Level.INFO,
                "forward: silent id={0} replica={1} silent_ms={2} sent={3}",
                head.id(),
                stalled.target().id(),
                nowMillis - stalled.lastReceivedMillis(),
                retries.attempts());
        context.metrics().silentReplica();
        stalled.recordFailure(true);
        attempt.keepSilent();
        if (stream.hasBegun()) {
            stream.interrupted(nowMillis);
        }
        return true;
    }

    /**
     * Goes back to the silent replica and ends what is sought or sent elsewhere.
     *
     * @param why what ends the search.
     * @return whether there is a silent replica.
     */
    boolean goBack(String why) {
        if (!attempt.returnToSilent(EventLoop.nowMillis())) {
            return false;
        }
        LOG.log(
                System.Logger.Level.INFO,
                "forward: back at silent replica id={0} state={1} why={2}",
                head.id(),
                state.get(),
                why);
        context.metrics().returnedToSilentReplica();
        slotWait.cancel();
        slotWait.forgetDenials();
        queuedRequest.leaveQueue();
        queuedRequest.cancelRecheck();
        return true;
    }

    /**
     * The parts of a request that the search depends on.
     *
     * @param context the forwarder.
     * @param head the head of the request.
     * @param attempt its attempts in progress.
     * @param retries decides whether another attempt may follow.
     * @param stream the progress of its stream.
     * @param slotWait the slots that it asks for.
     * @param queuedRequest its position among the requests that wait for room.
     */
    record Parts(
            ForwardContext context,
            MessageCodec.RequestHead head,
            CurrentAttempt attempt,
            RetryRules retries,
            StreamProgress stream,
            SlotWait slotWait,
            QueuedRequest queuedRequest) {}
}
