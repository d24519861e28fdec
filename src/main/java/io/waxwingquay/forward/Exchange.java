package io.waxwingquay.forward;

import io.waxwingquay.manifest.Route;
import io.waxwingquay.net.ClientRequest;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.ServerExchange;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * One request of a caller, from its arrival to its final response.
 *
 * <p>A request is sent again only if it certainly did not run or if running it twice does no harm. A rejection that
 * says "did not run" is given only if no replica can have begun the request.
 */
final class Exchange {

    private static final int SERVER_ERROR = 500;

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
    private final OriginConfirmation origin;
    private Optional<Attempt> eventSource = Optional.empty();
    private final RequestFailure failure;
    private final TakeOver takeOver;
    private final RequestWaits waits;

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
        this.route = route;
        this.head = head;
        this.suspicion = suspicion;
        this.stream = new StreamProgress(terms.arrivedMillis(), head, softwareVersion);
        this.origin = new OriginConfirmation(context, head, stream);
        this.queuedRequest = new QueuedRequest(context, terms, stream);
        this.retries = new RetryRules(context, terms);
        this.slotWait = new SlotWait(
                context.slotRequester(),
                new SlotPlacement(context.callerAge(), terms, stream, retries.triedTargets(), queuedRequest::slotYield),
                EventLoop::nowMillis,
                this::onSlotDecided);
        this.attempt = new CurrentAttempt(context, terms, suspicion, slotWait::unsent);
        this.failure = new RequestFailure(responder, terms, stream, attempt, this::goBackToSilentReplica, this::end);
        this.takeOver = new TakeOver(
                new TakeOver.Parts(context, head, attempt, retries, stream, slotWait, queuedRequest), () -> state);
        this.waits = new RequestWaits(
                new RequestWaits.Parts(context, terms, stream, queuedRequest, slotWait, responder, failure),
                () -> state,
                this::transition,
                this::choose);
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

    ExchangeState state() {
        return state;
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
        origin.check();
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
        stalled.ifPresent(Attempt::noteSilence);
        if (stalled.isPresent() && route.isSafeToRetry() && !callerGone && takeOver.begin(stalled.get(), nowMillis)) {
            failure.lastReason("silent for " + (nowMillis - stalled.get().lastReceivedMillis()) + " ms");
            retry();
        } else if (attempt.isDoubtful(nowMillis)
                && WaitPolicy.isCallerAboutToLeave(route, stream.callerIdleMillis(nowMillis))) {
            giveUpOnDoubtfulTarget();
        }
    }

    private boolean goBackToSilentReplica(String why) {
        boolean isBack = takeOver.goBack(why);
        if (isBack) {
            transition(ExchangeState.Event.CONTINUE);
        }
        return isBack;
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
        if (isResuming() && origin.isUnconfirmed()) {
            waits.recheckLater();
            return;
        }
        if (suspicion.isQuarantined()) {
            if (suspicion.isStandingUnsettled()) {
                waits.recheckLater();
            } else {
                refuseQuarantined();
            }
            return;
        }
        Choice choice = suspicion.choose(retries.triedTargets(), excluded -> slotWait.choose(excluded, nowMillis));
        if (choice instanceof Choice.Send send
                && !terms.callerWaitsForAnswer(send.target(), stream.callerIdleMillis(nowMillis), nowMillis)) {
            waits.notPlaced(
                    "its caller would leave before its answer begins", RequestFailure.DEFAULT_RETRY_AFTER_MILLIS);
        } else if (choice instanceof Choice.Send send) {
            send(send.target());
        } else if (choice instanceof Choice.LoadAdapter load) {
            waits.awaitAdapter(load.target(), nowMillis);
        } else if (choice instanceof Choice.Reserve reserve) {
            waits.awaitSlot(reserve.target());
        } else if (choice instanceof Choice.Denied denied) {
            waits.slotDenied(denied, nowMillis);
        } else if (choice instanceof Choice.ModelAbsent absent) {
            waits.awaitModel(absent.readyMillis(), nowMillis);
        } else if (choice instanceof Choice.Full full) {
            waits.awaitRoom(full, nowMillis);
        } else if (choice instanceof Choice.NoReplicaOfVersion) {
            failure.giveUp("no other replica of software version "
                    + stream.softwareVersion().orElse("") + " serves");
        } else if (choice instanceof Choice.AwaitIsolation) {
            waits.recheckLater();
        } else if (choice instanceof Choice.AwaitConfirmation) {
            waits.awaitConfirmation(nowMillis);
        } else {
            waits.notPlaced("no replica can be reached", RequestFailure.DEFAULT_RETRY_AFTER_MILLIS);
        }
    }

    private void refuseQuarantined() {
        if (isResuming()) {
            failure.abortStream(suspicion.quarantineReason());
        } else {
            waits.notPlaced(suspicion.quarantineReason(), Suspicion.RETRY_AFTER_MILLIS);
        }
    }

    private boolean isResuming() {
        return state == ExchangeState.RESUMING;
    }

    private void onSlotDecided() {
        waits.chooseAgain();
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

    /** Returns the run of the stream that an attempt begins now. */
    StreamRun newRun() {
        return new StreamRun(stream.lastEventId());
    }

    void rateLimitAnnounced(Target target, OptionalDouble perSecond) {
        context.rateLimitAnnounced(target, perSecond);
    }

    /** Handles a complete response of any status. */
    void answered(Attempt from, MessageCodec.ResponseHead response, byte[] body) {
        if (attempt.isSilent(from) && (response.didNotRun() || from.status() >= SERVER_ERROR)) {
            attempt.release(from);
            return;
        }
        preferIfSilent(from);
        attempt.release(from);
        if (response.didNotRun()) {
            rejected(from, response);
            return;
        }
        if (from.status() >= SERVER_ERROR) {
            from.recordFailure(true);
            attempt.noteMayHaveRun();
            failure.lastReason("status " + from.status());
            if (!stream.hasBegun()
                    && route.isSafeToRetry()
                    && (tryRetry() || goBackToSilentReplica(failure.lastReason()))) {
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

    /** Ends what is under way elsewhere if a replica that was silent answers first. */
    private void preferIfSilent(Attempt from) {
        if (attempt.isSilent(from)) {
            goBackToSilentReplica("it answers");
        }
    }

    /** Notes that a replica has accepted a stream: it runs there now, and must not go on at a silent one as well. */
    void streamAccepted(Attempt from) {
        if (!attempt.isSilent(from)) {
            attempt.cancelSilent();
        }
    }

    /** Notes that a replica has begun its answer. */
    void answerBegan(Attempt from) {
        attempt.answerBegan(from);
    }

    void partReceived(Attempt from, StreamPart part) {
        preferIfSilent(from);
        if (from.run().noteRepeated(part)) {
            return;
        }
        byte[] bytes = stream.hasBegun() ? part.bytesAfterOthers() : part.bytes();
        if (!part.isEvent()) {
            write(from, bytes);
            return;
        }
        if (!mayGoOnFrom(from)) {
            from.cancel();
            failed(from, true, "its replica may have restarted at another software version");
            return;
        }
        if (!stream.hasBegun()) {
            transition(ExchangeState.Event.BEGIN);
            origin.began(from.target());
            from.recordSuccess();
            responder.beginStream(from);
        }
        stream.eventDelivered(from.target().softwareVersion(), part.id(), EventLoop.nowMillis());
        caller.source(from);
        write(from, bytes);
    }

    /**
     * Passes a part of a stream on. What precedes an event is dropped while the response has not begun: a run that repeats
     * what the caller has begins with such parts.
     */
    private void write(Attempt from, byte[] bytes) {
        if (stream.hasBegun() && !responder.writePart(bytes)) {
            from.cancel();
            attempt.release(from);
            failure.abortStream("its caller does not read the response");
        }
    }

    /** Returns whether a replica that sends its first event certainly has the software version of the stream. */
    private boolean mayGoOnFrom(Attempt from) {
        if (eventSource.filter(current -> current == from).isPresent()) {
            return true;
        }
        boolean isOfVersion = stream.softwareVersion().isEmpty()
                || stream.softwareVersion().equals(from.target().softwareVersion());
        eventSource = isOfVersion ? Optional.of(from) : eventSource;
        return isOfVersion;
    }

    /** Handles the end of a stream, which is not within an event. */
    void streamEnded(Attempt from) {
        preferIfSilent(from);
        attempt.release(from);
        String replica = from.target().id();
        String streamEnd = from.describeStreamEnd();
        if (stream.hasBegun()) {
            end(responder.endStream(from), "streamed by " + replica + streamEnd);
        } else {
            end(
                    responder.respond(from, from.leadingParts()),
                    "answered by " + replica + " without an event" + streamEnd);
        }
    }

    /** Handles an attempt that ended without a complete response. */
    void failed(Attempt from, boolean sent, String why) {
        boolean wasSilent = attempt.isSilent(from);
        attempt.release(from);
        if (wasSilent) {
            return;
        }
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
            if (!route.isSafeToRetry() || !stream.isResumable() || !tryRetry()) {
                failure.abortStream(stream.isResumable() ? why : why + ", and its last id doesn't cover its events");
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
        attempt.cancelSilent();
        slotWait.cancel();
        slotWait.forgetDenials();
        queuedRequest.leaveQueue();
        caller.releaseRequest();
        transition(ExchangeState.Event.END);
        queuedRequest.cancelRecheck();
        Outcome outcome = new Outcome(
                head, route, terms.service(), status, retries.attempts(), why, terms.arrivedMillis(), stream, slotWait);
        if (!outcome.isCompleteStream()) {
            origin.broken();
        }
        context.ended(this, outcome);
    }
}
