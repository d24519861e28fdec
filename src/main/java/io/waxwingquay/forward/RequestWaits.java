package io.waxwingquay.forward;

import io.waxwingquay.net.EventLoop;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/** What one request waits for when it can't be sent now, and how it ends when the wait would be too long. */
final class RequestWaits {

    /** Interval between two checks of a request that waits for a model or an adapter. */
    private static final long RECHECK_MILLIS = 30L;

    /** Interval at which engines are asked again that had no place for the adapter of a request. */
    private static final long ADAPTER_RECHECK_MILLIS = 60L;

    /** Delay before a request that waits for room is checked again: at every tick. */
    private static final long ROOM_RECHECK_MILLIS = 0L;

    /** Time for replicas to state which incarnation they are; sound ones may be silent for about a second. */
    private static final long CONFIRMATION_WAIT_MILLIS = 1_200L;

    private final ForwardContext context;
    private final RequestTerms terms;
    private final MessageCodec.RequestHead head;
    private final StreamProgress stream;
    private final QueuedRequest queuedRequest;
    private final SlotWait slotWait;
    private final CallerResponder responder;
    private final RequestFailure failure;
    private final Supplier<ExchangeState> state;
    private final Consumer<ExchangeState.Event> transition;
    private final Runnable choose;

    /**
     * Creates the waits of a request.
     *
     * @param parts the parts of the request that its waits depend on.
     * @param state the present state of the request.
     * @param transition changes the state.
     * @param choose chooses a replica again.
     */
    RequestWaits(
            Parts parts, Supplier<ExchangeState> state, Consumer<ExchangeState.Event> transition, Runnable choose) {
        this.context = parts.context;
        this.terms = parts.terms;
        this.head = parts.terms.head();
        this.stream = parts.stream;
        this.queuedRequest = parts.queuedRequest;
        this.slotWait = parts.slotWait;
        this.responder = parts.responder;
        this.failure = parts.failure;
        this.state = state;
        this.transition = transition;
        this.choose = choose;
    }

    /**
     * Waits for the adapter, but only while the request can be served in time. If the side process is unresponsive
     * along with its engine, the request would be held until its caller leaves, without being sent anywhere.
     */
    void awaitAdapter(Target target, long nowMillis) {
        if (!isResuming() && !terms.mayWaitForRoom(nowMillis)) {
            notPlaced("adapter " + head.adapter().get() + " does not come", RequestFailure.DEFAULT_RETRY_AFTER_MILLIS);
            return;
        }
        slotWait.cancel();
        transition.accept(ExchangeState.Event.AWAIT);
        context.adapterRequester()
                .request(target, head.model().get(), head.adapter().get(), present -> {
                    if (present) {
                        chooseAgain();
                    } else if (isWaiting()) {
                        recheckLater();
                    }
                });
    }

    /** Waits for a slot; the side process of the engine decides whether the request can be served in time. */
    void awaitSlot(Target target) {
        queuedRequest.leaveQueue();
        transition.accept(ExchangeState.Event.AWAIT);
        slotWait.ask(target);
    }

    /** Has a replica chosen again, as what the request waited for is decided. */
    void chooseAgain() {
        if (isWaiting()) {
            transition.accept(ExchangeState.Event.RETRY);
            choose.run();
        }
    }

    /** Refuses a request; the time that a side process told is spread already. */
    void slotDenied(Choice.Denied denied, long nowMillis) {
        SlotDenial denial = denied.denial();
        String why = denial.describe(head, denied.engines());
        if (denial.isShort() && !isResuming() && terms.remainingSlotWaitMillis(nowMillis) > 0) {
            slotWait.forgetDenials();
            recheckLater(ADAPTER_RECHECK_MILLIS);
        } else if (isResuming()) {
            slotWait.useShortestDenial();
            long resumeMillis = WaitPolicy.remainingResumeMillis(stream.interruptedMillis(nowMillis));
            recheckLater(Math.max(RECHECK_MILLIS, Math.min(denial.retryAfterMillis(), resumeMillis)));
        } else if (denial.hasRetryTime()) {
            notPlaced(why, () -> {
                slotWait.useShortestDenial();
                return responder.rejectUntil(why, denial.retryAfterMillis());
            });
        } else {
            notPlaced(why, RequestFailure.DEFAULT_RETRY_AFTER_MILLIS);
        }
    }

    /** Waits for a model that is loading, if it is ready in the request's time. */
    void awaitModel(long readyMillis, long nowMillis) {
        context.modelMissed();
        if (isResuming() || terms.mayWaitForModel(readyMillis, nowMillis)) {
            recheckLater();
        } else {
            notPlaced("model " + head.model().get() + " is in no engine", readyMillis);
        }
    }

    /** Waits for room in an engine, if that is expected in the request's time. */
    void awaitRoom(Choice.Full full, long nowMillis) {
        if (queuedRequest.enqueueFor(full, nowMillis) || isResuming()) {
            recheckLater(ROOM_RECHECK_MILLIS);
        } else {
            notPlaced("no room", queuedRequest.expectedWaitMillis(full));
        }
    }

    /** Waits until the replicas that may have the version of the stream state which incarnation they are. */
    void awaitConfirmation(long nowMillis) {
        if (isResuming() || stream.waitedMillis(nowMillis) < CONFIRMATION_WAIT_MILLIS) {
            recheckLater();
        } else {
            notPlaced("the software version of no replica is certain", RequestFailure.DEFAULT_RETRY_AFTER_MILLIS);
        }
    }

    /** Has the choice of a replica repeated after the usual interval. */
    void recheckLater() {
        recheckLater(RECHECK_MILLIS);
    }

    private void recheckLater(long delayMillis) {
        slotWait.cancel();
        if (state.get() == ExchangeState.CHOOSING) {
            transition.accept(ExchangeState.Event.AWAIT);
        }
        queuedRequest.recheckIn(delayMillis, EventLoop.nowMillis());
    }

    /** Ends a request that no replica takes; a stream that is to be resumed waits on, as long as it may. */
    void notPlaced(String why, long retryAfterMillis) {
        notPlaced(why, () -> responder.reject(why, retryAfterMillis));
    }

    private void notPlaced(String why, IntSupplier reject) {
        if (isResuming()) {
            recheckLater();
        } else {
            failure.notPlaced(why, reject);
        }
    }

    private boolean isResuming() {
        return state.get() == ExchangeState.RESUMING;
    }

    private boolean isWaiting() {
        return state.get() == ExchangeState.AWAITING || isResuming();
    }

    /**
     * The parts of a request that its waits depend on.
     *
     * @param context the forwarder.
     * @param terms the terms of the request.
     * @param stream the progress of its stream.
     * @param queuedRequest its position among the requests that wait for room.
     * @param slotWait the slots that it asks for.
     * @param responder writes the response.
     * @param failure ends the request.
     */
    record Parts(
            ForwardContext context,
            RequestTerms terms,
            StreamProgress stream,
            QueuedRequest queuedRequest,
            SlotWait slotWait,
            CallerResponder responder,
            RequestFailure failure) {}
}
