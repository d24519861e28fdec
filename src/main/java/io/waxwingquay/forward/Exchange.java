package io.waxwingquay.forward;

import io.waxwingquay.manifest.Route;
import io.waxwingquay.net.ClientRequest;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.ServerExchange;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

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

    /** Delay before a request that waits for room is checked again: at every tick. */
    private static final long ROOM_RECHECK_MILLIS = 0L;

    /** Default retry-after delay, by which most lost replicas are replaced or found again. */
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 400L;

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
    private Attempt attempt;
    private boolean mayHaveRun;
    private boolean callerGone;
    private final StreamProgress stream;
    private String lastFailure = "";

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
        }
        choose();
    }

    void tick(long nowMillis) {
        if (state == ExchangeState.DONE) {
            return;
        }
        if (terms.remainingMillis(nowMillis) <= 0) {
            deadlineExceeded();
            return;
        }
        if (queuedRequest.isRecheckDue(nowMillis)) {
            if (!queuedRequest.canSkipCheck(nowMillis)) {
                queuedRequest.cancelRecheck();
                choose();
            }
            return;
        }
        if (attempt != null
                && route.isSafeToRetry()
                && attempt.isStalled(route, state, nowMillis)
                && !callerGone
                && retries.canRetryElsewhere(stream, nowMillis)) {
            Attempt stalled = attempt;
            stalled.cancel();
            failed(stalled, true, "silent for " + (nowMillis - stalled.lastReceivedMillis()) + " ms");
            return;
        }
        if (attempt != null
                && attempt.mayBeUnresponsive(nowMillis)
                && WaitPolicy.isCallerAboutToLeave(route, stream.callerIdleMillis(nowMillis))) {
            giveUpOnDoubtfulTarget();
        }
    }

    /**
     * Answers a request while its caller still waits: an unresponsive engine can't be told to cancel, and would run it
     * for nobody later. If the engine is healthy after all, only the little time until the caller would have left is
     * lost.
     */
    private void giveUpOnDoubtfulTarget() {
        withdrawAttempt();
        giveUp("its engine may stand still");
    }

    /** Cancels the attempt; a request of which nothing was sent is known not to have run. */
    private void withdrawAttempt() {
        mayHaveRun |= attempt != null && attempt.mayHaveBeenSent();
        cancelAttempt();
    }

    /** Rejects a request that waits here, while its caller can still turn to another entry. */
    void drain() {
        if (state == ExchangeState.CHOOSING || state == ExchangeState.AWAITING) {
            giveUp("this process is about to exit");
        }
    }

    /** Ends a request at the exit; an error response is better than a closed connection without one. */
    void terminate() {
        if (state != ExchangeState.DONE && !stream.hasBegun()) {
            withdrawAttempt();
            giveUp("this process exits");
        }
    }

    private void choose() {
        if (!terms.isStillAuthorized() && !mayHaveRun) {
            giveUp("its client account is gone");
            return;
        }
        long nowMillis = EventLoop.nowMillis();
        if (isResuming() && !WaitPolicy.mayResume(stream.interruptedMillis(nowMillis))) {
            abortStream("it could not go on elsewhere");
            return;
        }
        if (suspicion.isQuarantined()) {
            notPlaced(suspicion.quarantineReason(), Suspicion.RETRY_AFTER_MILLIS);
            return;
        }
        Choice choice = suspicion.choose(retries.triedTargets(), excluded -> terms.choose(stream, excluded, nowMillis));
        if (choice instanceof Choice.Send send
                && !terms.callerWaitsForAnswer(send.target(), stream.callerIdleMillis(nowMillis), nowMillis)) {
            notPlaced("its caller would leave before its answer begins", DEFAULT_RETRY_AFTER_MILLIS);
        } else if (choice instanceof Choice.Send send) {
            send(send.target());
        } else if (choice instanceof Choice.LoadAdapter load) {
            awaitAdapter(load.target(), nowMillis);
        } else if (choice instanceof Choice.ModelAbsent absent) {
            awaitModel(absent.readyMillis(), nowMillis);
        } else if (choice instanceof Choice.Full full) {
            awaitRoom(full, nowMillis);
        } else if (choice instanceof Choice.NoReplicaOfVersion) {
            giveUp("no other replica of software version "
                    + stream.softwareVersion().orElse("") + " serves");
        } else if (choice instanceof Choice.AwaitIsolation) {
            recheckLater();
        } else {
            notPlaced("no replica can be reached", DEFAULT_RETRY_AFTER_MILLIS);
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
            notPlaced("adapter " + head.adapter().get() + " does not come", DEFAULT_RETRY_AFTER_MILLIS);
            return;
        }
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
        if (state == ExchangeState.CHOOSING) {
            transition(ExchangeState.Event.AWAIT);
        }
        queuedRequest.recheckIn(delayMillis, EventLoop.nowMillis());
    }

    private void send(Target target) {
        queuedRequest.leaveQueue();
        if (state == ExchangeState.AWAITING) {
            transition(ExchangeState.Event.RETRY);
        }
        transition(ExchangeState.Event.SEND);
        retries.sent(target);
        suspicion.sent(target);
        Attempt next = new Attempt(this, target);
        stream.requestSent(target.record(), next.sentMillis());
        attempt = next;
        target.requestSent(head.model(), head.adapter(), EngineRequirements.kvTokens(head), next.sentMillis());
        target.bodyShare().sent(terms.bodyBytes());
        head.model().ifPresent(context.demandMeter()::started);
        ClientRequest request = terms.toClientRequest(target, stream.lastEventId(), EventLoop.nowMillis());
        next.call(target.pool().send(request, next));
    }

    void rateLimitAnnounced(Target target, OptionalDouble perSecond) {
        context.rateLimitAnnounced(target, perSecond);
    }

    /** Handles a complete response of any status. */
    void answered(Attempt from, MessageCodec.ResponseHead response, byte[] body) {
        release(from);
        if (response.didNotRun()) {
            rejected(from, response);
            return;
        }
        if (from.status() >= SERVER_ERROR) {
            from.recordFailure(true);
            mayHaveRun = true;
            lastFailure = "status " + from.status();
            if (!stream.hasBegun() && route.isSafeToRetry() && tryRetry()) {
                return;
            }
        } else {
            from.recordSuccess();
        }
        if (stream.hasBegun()) {
            abortStream("a resumed stream was answered with status " + from.status());
            return;
        }
        end(responder.respond(from, body), "answered by " + from.target().id());
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
            release(from);
            abortStream("its caller does not read the response");
        }
    }

    /** Handles the end of a stream, which is not within an event. */
    void streamEnded(Attempt from) {
        release(from);
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
        release(from);
        lastFailure = why;
        from.recordFailure(sent);
        if (sent) {
            mayHaveRun = true;
        } else {
            retries.notSent();
        }
        if (stream.hasBegun()) {
            stream.interrupted(EventLoop.nowMillis());
            if (!route.isSafeToRetry() || !tryRetry()) {
                abortStream(why);
            }
            return;
        }
        boolean resendUnsent = !sent && !callerGone && retries.mayResendUnsent();
        if (resendUnsent) {
            retry();
        } else if (!(sent && route.isSafeToRetry()) || !tryRetry()) {
            giveUp(why);
        }
    }

    private void rejected(Attempt from, MessageCodec.ResponseHead response) {
        lastFailure = "not run by " + from.target().id() + ", status " + from.status();
        if (response.misdirected()) {
            context.misdirected(from.target(), head, response);
        } else if (response.full()) {
            from.target().attemptHistory().full(EventLoop.nowMillis());
        }
        if (stream.hasBegun()) {
            stream.interrupted(EventLoop.nowMillis());
        }
        if (!tryRetry()) {
            giveUp(lastFailure);
        }
    }

    /** Retries if the route, the remaining time and the retry budget of the service allow that. */
    private boolean tryRetry() {
        if (callerGone || !retries.mayRetry(EventLoop.nowMillis())) {
            return false;
        }
        if (!retries.tryAcquire()) {
            lastFailure = lastFailure + ", no retry left in the budget";
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
        if (isResuming()) {
            recheckLater();
            return;
        }
        if (mayHaveRun) {
            giveUp(lastFailure.isEmpty() ? why : lastFailure);
            return;
        }
        reject(why, retryAfterMillis);
    }

    private void giveUp(String why) {
        if (stream.hasBegun()) {
            abortStream(why);
        } else if (mayHaveRun) {
            end(responder.badGateway(), why);
        } else {
            reject(why, DEFAULT_RETRY_AFTER_MILLIS);
        }
    }

    private void reject(String why, long retryAfterMillis) {
        terms.admission().giveBack();
        end(responder.reject(why, retryAfterMillis), why);
    }

    private void abortStream(String why) {
        end(responder.abort(), why);
    }

    private void deadlineExceeded() {
        boolean wasSent = attempt != null || mayHaveRun;
        cancelAttempt();
        if (stream.hasBegun()) {
            abortStream("its time is over");
        } else if (wasSent) {
            end(responder.gatewayTimeout(), "its time is over");
        } else {
            reject("its time is over", DEFAULT_RETRY_AFTER_MILLIS);
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
        if (attempt != null && attempt.mayHaveBeenSent() && route.kind() == Route.Kind.UNSAFE) {
            caller.retainRequest();
            return;
        }
        withdrawAttempt();
        if (!mayHaveRun) {
            terms.admission().giveBack();
        }
        end(0, caller.isCutOff() ? "its caller does not read the response" : "the caller left");
    }

    private void cancelAttempt() {
        if (attempt != null) {
            Attempt running = attempt;
            running.cancel();
            release(running);
        }
    }

    private void release(Attempt ended) {
        if (attempt == ended) {
            attempt = null;
        }
        suspicion.ended();
        ended.target().requestEnded(head.model(), head.adapter());
        ended.target().bodyShare().ended(terms.bodyBytes());
        head.model().ifPresent(model -> context.demandMeter().ended(model, EventLoop.nowMillis() - ended.sentMillis()));
    }

    private void transition(ExchangeState.Event event) {
        ExchangeState.CHART.next(state, event).ifPresent(next -> state = next);
    }

    private void end(int status, String why) {
        queuedRequest.leaveQueue();
        caller.releaseRequest();
        transition(ExchangeState.Event.END);
        queuedRequest.cancelRecheck();
        context.ended(
                this,
                new Outcome(
                        head, route, terms.service(), status, retries.attempts(), why, terms.arrivedMillis(), stream));
    }
}
