package io.waxwingquay.forward;

import io.waxwingquay.manifest.Route;
import io.waxwingquay.net.ClientRequest;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.ServerExchange;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.IntSupplier;

/**
 * One request of a caller, from its arrival to its final response.
 *
 * <p>A request is sent again only if it certainly did not run or if running it twice does no harm. A rejection that
 * says "did not run" is given only if no replica can have begun the request.
 */
final class Exchange {

    private static final int SERVER_ERROR = 500;
    private static final byte[] NO_BODY = {};

    /** Interval between two checks of a request that waits for a model or an adapter. */
    private static final long RECHECK_MILLIS = 30L;

    /** Interval at which engines are asked again that had no place for the adapter of a request. */
    private static final long ADAPTER_RECHECK_MILLIS = 60L;

    /** Delay before a request that waits for room is checked again: at every tick. */
    private static final long ROOM_RECHECK_MILLIS = 0L;

    private final ForwardContext context;
    private final ServerExchange caller;
    private final CallerResponder responder;
    private final RequestTerms terms;
    private final Route route;
    private final MessageCodec.RequestHead head;
    private final Suspicion suspicion;
    private final QueuedRequest queuedRequest;
    private final RetryRules retries;
    private ExchangeState state = ExchangeState.CHART.initial();
    private final CurrentAttempt attempt;
    private final SlotWait slotWait;
    private boolean callerGone;
    private final StreamProgress stream;
    private final RequestFailure failure;

    Exchange(
            ForwardContext context,
            ServerExchange caller,
            Route route,
            MessageCodec.RequestHead head,
            Admission admission,
            Suspicion suspicion,
            Optional<String> softwareVersion) {
        this.context = context;
        this.caller = caller;
        this.responder = new CallerResponder(caller, context);
        this.terms = RequestTerms.of(context, caller.request(), route, head, admission);
        this.queuedRequest = new QueuedRequest(context, terms);
        this.route = route;
        this.head = head;
        this.suspicion = suspicion;
        this.stream = new StreamProgress(terms.arrivedMillis(), head, softwareVersion);
        this.retries = new RetryRules(context, terms);
        this.slotWait = new SlotWait(
                context.slotRequester(),
                new SlotPlacement(context.callerAge(), terms, stream, retries.triedTargets()),
                EventLoop::nowMillis,
                this::onSlotDecided);
        this.attempt = new CurrentAttempt(context, terms, suspicion, slotWait::unsent);
        this.failure = new RequestFailure(responder, terms, stream, attempt, this::end);
    }

    ServerExchange caller() {
        return caller;
    }

    MessageCodec codec() {
        return context.codec();
    }

    MessageCodec.RequestHead head() {
        return head;
    }

    Suspicion suspicion() {
        return suspicion;
    }

    boolean isStream() {
        return terms.isStream();
    }

    boolean needsModel() {
        return terms.needsModel();
    }

    QueuedRequest queuedRequest() {
        return queuedRequest;
    }

    void start() {
        caller.onDisconnect(this::onCallerGone);
        if (needsModel()) {
            context.demandMeter().requested(head.model().get(), EventLoop.nowMillis());
            context.callerAge().arrived(route.name(), head.remainingMillis());
        }
        choose();
    }

    void tick(long nowMillis) {
        if (state == ExchangeState.DONE) {
            return;
        }
        if (terms.remainingMillis(nowMillis) <= 0) {
            failure.deadlineExceeded();
            return;
        }
        if (queuedRequest.isRecheckDue(nowMillis)) {
            if (!queuedRequest.canSkipCheck(nowMillis)) {
                queuedRequest.cancelRecheck();
                choose();
            }
            return;
        }
        Optional<Attempt> stalled = attempt.stalled(route, state, nowMillis);
        if (stalled.isPresent()
                && route.isSafeToRetry()
                && !callerGone
                && !isQueuedAgain(stalled.get(), nowMillis)
                && retries.canRetryElsewhere(stream, nowMillis)) {
            giveUpOn(stalled.get(), nowMillis);
        } else if (attempt.isDoubtful(nowMillis)
                && WaitPolicy.isCallerAboutToLeave(route, stream.callerIdleMillis(nowMillis))) {
            giveUpOnDoubtfulTarget();
        }
    }

    private void giveUpOn(Attempt stalled, long nowMillis) {
        stalled.cancel();
        failed(stalled, true, "silent for " + (nowMillis - stalled.lastReceivedMillis()) + " ms");
    }

    /**
     * Returns whether a stalled stream most likely goes on where it is: its engine is heard, and holds no more requests than
     * slots. It may not find a slot elsewhere within the time in which it can be resumed.
     */
    private static boolean isQueuedAgain(Attempt stalled, long nowMillis) {
        return stalled.target().grantsSlots(nowMillis);
    }

    /**
     * Answers a request while its caller still waits: an unresponsive engine can't be told to cancel, and would run it
     * for nobody later. If the engine is healthy after all, only the little time until the caller would have left is
     * lost.
     */
    private void giveUpOnDoubtfulTarget() {
        attempt.withdraw();
        failure.giveUp("its engine may stand still");
    }

    /** Rejects a request that waits here, while its caller can still turn to another entry. */
    void drain() {
        if (state == ExchangeState.CHOOSING || state == ExchangeState.AWAITING) {
            failure.giveUp("this process is about to exit");
        }
    }

    /** Ends a request at the exit; an error response is better than a closed connection without one. */
    void terminate() {
        if (state != ExchangeState.DONE && !stream.hasBegun()) {
            attempt.withdraw();
            failure.giveUp("this process exits");
        }
    }

    private void choose() {
        if (!terms.isStillAuthorized() && !attempt.mayHaveRun()) {
            failure.giveUp("its client account is gone");
            return;
        }
        long nowMillis = EventLoop.nowMillis();
        if (isResuming() && !WaitPolicy.mayResume(stream.interruptedMillis(nowMillis))) {
            failure.abortStream("it could not go on elsewhere");
            return;
        }
        if (suspicion.isQuarantined()) {
            notPlaced(suspicion.quarantineReason(), Suspicion.RETRY_AFTER_MILLIS);
            return;
        }
        Choice choice = suspicion.choose(retries.triedTargets(), excluded -> slotWait.choose(excluded, nowMillis));
        if (choice instanceof Choice.Send send
                && !terms.callerWaitsForAnswer(send.target(), stream.callerIdleMillis(nowMillis), nowMillis)) {
            notPlaced("its caller would leave before its answer begins", RequestFailure.DEFAULT_RETRY_AFTER_MILLIS);
        } else if (choice instanceof Choice.Send send) {
            send(send.target());
        } else if (choice instanceof Choice.LoadAdapter load) {
            awaitAdapter(load.target(), nowMillis);
        } else if (choice instanceof Choice.Reserve reserve) {
            awaitSlot(reserve.target());
        } else if (choice instanceof Choice.Denied denied) {
            slotDenied(denied, nowMillis);
        } else if (choice instanceof Choice.ModelAbsent absent) {
            awaitModel(absent.readyMillis(), nowMillis);
        } else if (choice instanceof Choice.Full full) {
            awaitRoom(full, nowMillis);
        } else if (choice instanceof Choice.NoReplicaOfVersion) {
            failure.giveUp("no other replica of software version "
                    + stream.softwareVersion().orElse("") + " serves");
        } else if (choice instanceof Choice.AwaitIsolation) {
            recheckLater();
        } else {
            notPlaced("no replica can be reached", RequestFailure.DEFAULT_RETRY_AFTER_MILLIS);
        }
    }

    private boolean isResuming() {
        return state == ExchangeState.RESUMING;
    }

    /**
     * Waits for the adapter, but only while the request can be served in time. If the side process is unresponsive
     * along with its engine, the request would be held until its caller leaves, without being sent anywhere.
     */
    private void awaitAdapter(Target target, long nowMillis) {
        if (!isResuming() && !terms.mayWaitForRoom(nowMillis)) {
            notPlaced("adapter " + head.adapter().get() + " does not come", RequestFailure.DEFAULT_RETRY_AFTER_MILLIS);
            return;
        }
        slotWait.cancel();
        transition(ExchangeState.Event.AWAIT);
        context.adapterRequester()
                .request(target, head.model().get(), head.adapter().get(), present -> {
                    if (state == ExchangeState.AWAITING || isResuming()) {
                        if (present) {
                            transition(ExchangeState.Event.RETRY);
                            choose();
                        } else {
                            recheckLater();
                        }
                    }
                });
    }

    /** Waits for a slot; the side process of the engine decides whether the request can be served in time. */
    private void awaitSlot(Target target) {
        queuedRequest.leaveQueue();
        transition(ExchangeState.Event.AWAIT);
        slotWait.ask(target);
    }

    private void onSlotDecided() {
        if (state == ExchangeState.AWAITING || isResuming()) {
            transition(ExchangeState.Event.RETRY);
            choose();
        }
    }

    /** Refuses a request; the time that a side process told is spread already. */
    private void slotDenied(Choice.Denied denied, long nowMillis) {
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

    private void awaitModel(long readyMillis, long nowMillis) {
        context.modelMissed();
        if (isResuming() || terms.mayWaitForModel(readyMillis, nowMillis)) {
            recheckLater();
        } else {
            notPlaced("model " + head.model().get() + " is in no engine", readyMillis);
        }
    }

    private void awaitRoom(Choice.Full full, long nowMillis) {
        if (queuedRequest.enqueueFor(full, nowMillis) || isResuming()) {
            recheckLater(ROOM_RECHECK_MILLIS);
        } else {
            notPlaced("no room", queuedRequest.expectedWaitMillis(full));
        }
    }

    private void recheckLater() {
        recheckLater(RECHECK_MILLIS);
    }

    private void recheckLater(long delayMillis) {
        slotWait.cancel();
        if (state == ExchangeState.CHOOSING) {
            transition(ExchangeState.Event.AWAIT);
        }
        queuedRequest.recheckIn(delayMillis, EventLoop.nowMillis());
    }

    private void send(Target target) {
        slotWait.sent(target);
        queuedRequest.leaveQueue();
        if (state == ExchangeState.AWAITING) {
            transition(ExchangeState.Event.RETRY);
        }
        transition(ExchangeState.Event.SEND);
        retries.sent(target);
        suspicion.sent(target);
        Attempt next = new Attempt(this, target);
        stream.requestSent(target.record(), next.sentMillis());
        attempt.started(next);
        ClientRequest request = terms.toClientRequest(target, stream.lastEventId(), EventLoop.nowMillis());
        next.call(target.pool().send(request, next));
    }

    void rateLimitAnnounced(Target target, OptionalDouble perSecond) {
        context.rateLimitAnnounced(target, perSecond);
    }

    /** Handles a complete response of any status. */
    void answered(Attempt from, MessageCodec.ResponseHead response, byte[] body) {
        attempt.release(from);
        if (response.didNotRun()) {
            rejected(from, response);
            return;
        }
        if (from.status() >= SERVER_ERROR) {
            from.recordFailure(true);
            attempt.noteMayHaveRun();
            failure.lastReason("status " + from.status());
            if (!stream.hasBegun() && route.isSafeToRetry() && tryRetry()) {
                return;
            }
        } else {
            from.recordSuccess();
        }
        if (stream.hasBegun()) {
            failure.abortStream("a resumed stream was answered with status " + from.status());
            return;
        }
        end(responder.respond(from, body), "answered by " + from.target().id());
    }

    void answerBegan(Attempt from) {
        attempt.answerBegan(from);
    }

    void eventReceived(Attempt from, byte[] bytes, OptionalLong id) {
        if (stream.wasDelivered(id)) {
            return;
        }
        if (!stream.hasBegun()) {
            transition(ExchangeState.Event.BEGIN);
            context.streamBegan(head, from.target());
            from.recordSuccess();
            responder.beginStream(from);
        }
        stream.eventDelivered(from.target().softwareVersion(), id, EventLoop.nowMillis());
        caller.source(from);
        if (!responder.writeEvent(bytes)) {
            from.cancel();
            attempt.release(from);
            failure.abortStream("its caller does not read the response");
        }
    }

    /** Handles the end of a stream, which is not within an event. */
    void streamEnded(Attempt from) {
        attempt.release(from);
        String replica = from.target().id();
        String streamEnd = from.describeStreamEnd();
        if (stream.hasBegun()) {
            end(responder.endStream(from), "streamed by " + replica + streamEnd);
        } else {
            end(responder.respond(from, NO_BODY), "answered by " + replica + " without an event" + streamEnd);
        }
    }

    /** Handles an attempt that ended without a complete response. */
    void failed(Attempt from, boolean sent, String why) {
        attempt.release(from);
        failure.lastReason(why);
        from.recordFailure(sent);
        if (sent) {
            attempt.noteMayHaveRun();
        } else {
            retries.notSent();
            slotWait.unsent();
        }
        if (stream.hasBegun()) {
            stream.interrupted(EventLoop.nowMillis());
            if (!route.isSafeToRetry() || !tryRetry()) {
                failure.abortStream(why);
            }
            return;
        }
        boolean resendUnsent = !sent && !callerGone && retries.mayResendUnsent();
        if (resendUnsent) {
            retry();
        } else if (!(sent && route.isSafeToRetry()) || !tryRetry()) {
            failure.giveUp(why);
        }
    }

    private void rejected(Attempt from, MessageCodec.ResponseHead response) {
        failure.lastReason("not run by " + from.target().id() + ", status " + from.status());
        if (response.misdirected()) {
            context.misdirected(from.target(), head, response);
        } else if (response.full()) {
            from.target().attemptHistory().full(EventLoop.nowMillis());
        }
        if (stream.hasBegun()) {
            stream.interrupted(EventLoop.nowMillis());
        }
        if (!tryRetry()) {
            failure.giveUp(failure.lastReason());
        }
    }

    /** Retries if the route, the remaining time and the retry budget of the service allow that. */
    private boolean tryRetry() {
        if (callerGone || !retries.mayRetry(EventLoop.nowMillis())) {
            return false;
        }
        if (!retries.tryAcquire()) {
            failure.lastReason(failure.lastReason() + ", no retry left in the budget");
            return false;
        }
        retry();
        return true;
    }

    private void retry() {
        transition(ExchangeState.Event.RETRY);
        choose();
    }

    private void notPlaced(String why, long retryAfterMillis) {
        notPlaced(why, () -> responder.reject(why, retryAfterMillis));
    }

    private void notPlaced(String why, IntSupplier reject) {
        if (isResuming()) {
            recheckLater();
        } else {
            failure.notPlaced(why, reject);
        }
    }

    /**
     * Ends a request whose caller has left, so that replicas don't spend their time on answers that nobody reads while
     * others wait. Closing the connection ends the work. A request that may not run twice is left to finish, as its
     * caller will ask for its outcome, unless it still waits for a connection: nothing of it was sent then, and it is
     * not sent elsewhere.
     */
    private void onCallerGone() {
        callerGone = true;
        if (attempt.mayHaveBeenSent() && route.kind() == Route.Kind.UNSAFE) {
            caller.retainRequest();
            return;
        }
        attempt.withdraw();
        if (!attempt.mayHaveRun()) {
            terms.admission().giveBack();
        }
        end(0, caller.isCutOff() ? "its caller does not read the response" : "the caller left");
    }

    private void transition(ExchangeState.Event event) {
        ExchangeState.CHART.next(state, event).ifPresent(next -> state = next);
    }

    private void end(int status, String why) {
        slotWait.cancel();
        slotWait.forgetDenials();
        queuedRequest.leaveQueue();
        caller.releaseRequest();
        transition(ExchangeState.Event.END);
        queuedRequest.cancelRecheck();
        context.ended(
                this,
                new Outcome(
                        head,
                        route,
                        terms.service(),
                        status,
                        retries.attempts(),
                        why,
                        terms.arrivedMillis(),
                        stream,
                        slotWait));
    }
}
