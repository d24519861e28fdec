package io.waxwingquay.forward;

import io.waxwingquay.admission.RetryBudget;
import io.waxwingquay.manifest.Route;
import io.waxwingquay.net.ClientRequest;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.ServerExchange;
import java.util.HashSet;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

/**
 * One request of a caller, from its arrival to its final answer.
 *
 * <p>What may be sent again: a request that certainly did not run, and one whose second run does no harm. A refusal
 * that says "did not run" is given only if no replica can have begun it.
 */
final class Exchange {

    private static final int SERVER_ERROR = 500;

    /** How often a request that waits for a model looks again. */
    private static final long LOOK_AGAIN_MILLIS = 30L;

    /** A request that waits for room looks again at each look at the time. */
    private static final long LOOK_FOR_ROOM_MILLIS = 0L;

    /** With less time than this another try can't end in time. */
    private static final long LEAST_TRY_MILLIS = 30L;

    private static final int MOST_CONNECT_FAILURES = 4;

    /** When to come back if nothing better is known: most replicas that went are replaced or found again by then. */
    private static final long FORWARD_AGAIN_MILLIS = 400L;

    private final ForwardContext context;
    private final ServerExchange caller;
    private final CallerAnswers answers;
    private final RequestTerms terms;
    private final Route route;
    private final MessageCodec.RequestHead ask;
    private final Suspicion suspicion;
    private final QueuedRequest queued;
    private final Set<Target> tried = new HashSet<>();
    private ExchangeState state = ExchangeState.CHART.initial();
    private Attempt attempt;
    private int attempts;
    private int connectFailures;
    private boolean mayHaveRun;
    private boolean callerGone;
    private final StreamProgress stream;
    private long lookAgainMillis = Long.MAX_VALUE;
    private long brokenMillis;
    private String lastFailure = "";

    Exchange(
            ForwardContext context,
            ServerExchange caller,
            Route route,
            MessageCodec.RequestHead ask,
            Suspicion suspicion) {
        this.context = context;
        this.caller = caller;
        this.answers = new CallerAnswers(caller, context);
        this.terms = RequestTerms.of(context, caller.request(), route, ask);
        this.queued = new QueuedRequest(context, terms);
        this.route = route;
        this.ask = ask;
        this.suspicion = suspicion;
        this.stream = new StreamProgress(
                terms.arrivedMillis(), ask.lastEventId().map(OptionalLong::of).orElse(OptionalLong.empty()));
    }

    MessageCodec codec() {
        return context.codec();
    }

    MessageCodec.RequestHead ask() {
        return ask;
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

    /** Which of those that wait is looked at first: the lowest. */
    long slackMillis(long nowMillis) {
        return queued.slackMillis(nowMillis);
    }

    void start() {
        caller.onGone(this::callerGone);
        if (needsModel()) {
            context.demand().asked(ask.model().get(), EventLoop.nowMillis());
        }
        choose();
    }

    void tick(long nowMillis) {
        if (state == ExchangeState.DONE) {
            return;
        }
        if (terms.leftMillis(nowMillis) <= 0) {
            timeUp();
            return;
        }
        if (nowMillis >= lookAgainMillis) {
            if (!queued.canSkipLook(nowMillis)) {
                lookAgainMillis = Long.MAX_VALUE;
                choose();
            }
            return;
        }
        if (attempt != null && route.mayRepeat() && isSilent(nowMillis) && canGoElsewhere(nowMillis)) {
            Attempt silent = attempt;
            silent.cancel();
            failed(silent, true, "silent for " + (nowMillis - silent.heardMillis()) + " ms");
            return;
        }
        if (attempt != null
                && attempt.target().isInDoubt(attempt.sentMillis(), nowMillis)
                && Patience.isCallerLeaving(route, stream.callerSilentMillis(nowMillis))) {
            giveUpInDoubt();
        }
    }

    /**
     * Answers a request while its caller is still there: an unresponsive engine can't be told to cancel, and would run it for
     * nobody later. If the engine is healthy after all, only the little time until the caller would have left is lost.
     */
    private void giveUpInDoubt() {
        takeBack();
        giveUp("its engine may stand still");
    }

    /** Ends what is under way; one of which nothing has left is known not to have run. */
    private void takeBack() {
        mayHaveRun |= attempt != null && attempt.mayHaveLeft();
        cancelAttempt();
    }

    /** The process is about to exit: what waits here is refused while its caller can go elsewhere. */
    void leave() {
        if (state == ExchangeState.CHOOSING || state == ExchangeState.AWAITING) {
            giveUp("this process is about to exit");
        }
    }

    /** The process exits now: an answer that promises nothing is better than a connection that ends without a word. */
    void exit() {
        if (state != ExchangeState.DONE && !stream.began()) {
            takeBack();
            giveUp("this process exits");
        }
    }

    private boolean isSilent(long nowMillis) {
        long silentMillis = nowMillis - attempt.heardMillis();
        return state == ExchangeState.STREAMING
                ? Patience.isStreamSilent(silentMillis)
                : Patience.isUnanswered(
                        route, silentMillis, attempt.target().tries().answerMillis());
    }

    /**
     * Failure: all replicas are slow for a moment, and one that is given up can't be replaced. Symptom: the caller gets a
     * failure though its answer was under way, so a silent replica is given up only for another one.
     */
    private boolean canGoElsewhere(long nowMillis) {
        return mayTryAgain() && budget().available() >= 1 && terms.choose(tried, nowMillis) instanceof Choice.Send;
    }

    private RetryBudget budget() {
        return context.budget(terms.service());
    }

    private boolean mayTryAgain() {
        boolean timely = terms.leftMillis(EventLoop.nowMillis()) > LEAST_TRY_MILLIS;
        return !callerGone && timely && attempts < route.maxAttempts();
    }

    private void choose() {
        long nowMillis = EventLoop.nowMillis();
        if (isResuming() && !Patience.mayResume(nowMillis - brokenMillis)) {
            breakOff("it could not go on elsewhere");
            return;
        }
        if (suspicion.isRefused()) {
            unplaced(suspicion.why(), Suspicion.COME_BACK_MILLIS);
            return;
        }
        Choice choice = suspicion.choose(tried, without -> terms.choose(without, nowMillis));
        if (choice instanceof Choice.Send send
                && !terms.mayBegin(send.target(), stream.callerSilentMillis(nowMillis), nowMillis)) {
            unplaced("its caller would leave before its answer begins", FORWARD_AGAIN_MILLIS);
        } else if (choice instanceof Choice.Send send) {
            send(send.target());
        } else if (choice instanceof Choice.LoadAdapter load) {
            awaitAdapter(load.target(), nowMillis);
        } else if (choice instanceof Choice.ModelAbsent absent) {
            awaitModel(absent.readyMillis(), nowMillis);
        } else if (choice instanceof Choice.Full full) {
            awaitRoom(full, nowMillis);
        } else if (choice instanceof Choice.Apart) {
            lookAgain();
        } else {
            unplaced("no replica can be reached", FORWARD_AGAIN_MILLIS);
        }
    }

    private boolean isResuming() {
        return state == ExchangeState.RESUMING;
    }

    /**
     * Failure: the process that is asked for the adapter stands still with its engine, and is asked again and again. Symptom:
     * the request is held until its caller leaves, and was sent nowhere. The wait ends when service could come of it no more.
     */
    private void awaitAdapter(Target target, long nowMillis) {
        if (!isResuming() && !terms.mayWaitForRoom(nowMillis)) {
            unplaced("adapter " + ask.adapter().get() + " does not come", FORWARD_AGAIN_MILLIS);
            return;
        }
        move(ExchangeState.Event.AWAIT);
        context.adapters().need(target, ask.model().get(), ask.adapter().get(), present -> {
            if (state == ExchangeState.AWAITING || isResuming()) {
                if (present) {
                    move(ExchangeState.Event.RETRY);
                    choose();
                } else {
                    lookAgain();
                }
            }
        });
    }

    private void awaitModel(long readyMillis, long nowMillis) {
        context.modelMissed();
        if (isResuming() || terms.mayWaitForModel(readyMillis, nowMillis)) {
            lookAgain();
        } else {
            unplaced("model " + ask.model().get() + " is in no engine", readyMillis);
        }
    }

    private void awaitRoom(Choice.Full full, long nowMillis) {
        if (queued.await(full, nowMillis) || isResuming()) {
            lookAgain(LOOK_FOR_ROOM_MILLIS);
        } else {
            unplaced("no room", queued.expectedMillis(full));
        }
    }

    private void lookAgain() {
        lookAgain(LOOK_AGAIN_MILLIS);
    }

    private void lookAgain(long pauseMillis) {
        if (state == ExchangeState.CHOOSING) {
            move(ExchangeState.Event.AWAIT);
        }
        lookAgainMillis = EventLoop.nowMillis() + pauseMillis;
    }

    private void send(Target target) {
        queued.end();
        if (state == ExchangeState.AWAITING) {
            move(ExchangeState.Event.RETRY);
        }
        move(ExchangeState.Event.SEND);
        if (attempts == 0) {
            budget().noteFirstTry();
        }
        attempts++;
        tried.add(target);
        suspicion.sent(target);
        Attempt next = new Attempt(this, target);
        stream.sent(next.sentMillis());
        attempt = next;
        target.began(ask.model(), ask.adapter(), EngineNeed.tokens(ask), next.sentMillis());
        ask.model().ifPresent(context.demand()::began);
        ClientRequest request = terms.forReplica(target, stream.lastEventId(), EventLoop.nowMillis());
        next.call(target.pool().send(request, next));
    }

    /** An answer's head has told which limit its replica names, if any. */
    void limited(Target by, OptionalDouble perSecond) {
        context.limited(by, perSecond);
    }

    /** A whole answer has come, of any status. */
    void answered(Attempt from, MessageCodec.ResponseHead reply, byte[] body) {
        release(from);
        if (reply.didNotRun()) {
            notRun(from, reply);
            return;
        }
        if (from.status() >= SERVER_ERROR) {
            from.target().tries().failed(EventLoop.nowMillis());
            mayHaveRun = true;
            lastFailure = "status " + from.status();
            if (!stream.began() && route.mayRepeat() && tryAgain()) {
                return;
            }
        } else {
            from.succeeded();
        }
        if (stream.began()) {
            breakOff("a resumed stream was answered " + from.status());
            return;
        }
        end(answers.whole(from, body), "answered by " + from.target().id());
    }

    /** A whole event has come. */
    void event(Attempt from, byte[] bytes, OptionalLong id) {
        if (stream.has(id)) {
            return;
        }
        if (!stream.began()) {
            move(ExchangeState.Event.BEGIN);
            from.succeeded();
            answers.begin(from);
        }
        stream.passed(id, EventLoop.nowMillis());
        if (!answers.event(bytes)) {
            from.cancel();
            release(from);
            breakOff("its caller takes nothing");
        }
    }

    /** A stream has come to its orderly end. */
    void streamEnded(Attempt from, byte[] rest) {
        release(from);
        if (!stream.began()) {
            end(answers.whole(from, rest), "answered by " + from.target().id() + " without an event");
            return;
        }
        end(answers.streamEnd(from, rest), "streamed by " + from.target().id());
    }

    /** There is no whole answer. */
    void failed(Attempt from, boolean sent, String why) {
        release(from);
        lastFailure = why;
        if (sent) {
            from.target().tries().failed(EventLoop.nowMillis());
            mayHaveRun = true;
        } else {
            if (from.target().takesWork() && !from.target().mayHaveLeft()) {
                from.target().tries().unreachable(EventLoop.nowMillis());
            }
            attempts--;
            connectFailures++;
        }
        if (stream.began()) {
            brokenMillis = EventLoop.nowMillis();
            if (!route.mayRepeat() || !tryAgain()) {
                breakOff(why);
            }
            return;
        }
        boolean unsentAgain = !sent && !callerGone && connectFailures <= MOST_CONNECT_FAILURES;
        if (unsentAgain) {
            retry();
        } else if (!(sent && route.mayRepeat()) || !tryAgain()) {
            giveUp(why);
        }
    }

    private void notRun(Attempt from, MessageCodec.ResponseHead reply) {
        lastFailure = "not run by " + from.target().id() + ", status " + from.status();
        if (reply.misdirected()) {
            context.misdirected(from.target(), ask, reply);
        } else if (reply.full()) {
            from.target().tries().full(EventLoop.nowMillis());
        }
        if (stream.began()) {
            brokenMillis = EventLoop.nowMillis();
        }
        if (!tryAgain()) {
            giveUp(lastFailure);
        }
    }

    /** Sends it once more if its route, its time and the budget of the service allow that. */
    private boolean tryAgain() {
        if (!mayTryAgain()) {
            return false;
        }
        if (!budget().tryRetry()) {
            lastFailure = lastFailure + ", no retry left in the budget";
            return false;
        }
        retry();
        return true;
    }

    private void retry() {
        move(ExchangeState.Event.RETRY);
        choose();
    }

    /** It could not be placed now. */
    private void unplaced(String why, long comeBackMillis) {
        if (isResuming()) {
            lookAgain();
            return;
        }
        if (mayHaveRun) {
            giveUp(lastFailure.isEmpty() ? why : lastFailure);
            return;
        }
        refuse(why, comeBackMillis);
    }

    private void giveUp(String why) {
        if (stream.began()) {
            breakOff(why);
        } else if (mayHaveRun) {
            end(answers.failed(), why);
        } else {
            refuse(why, FORWARD_AGAIN_MILLIS);
        }
    }

    private void refuse(String why, long comeBackMillis) {
        end(answers.refused(why, comeBackMillis), why);
    }

    private void breakOff(String why) {
        end(answers.cut(), why);
    }

    private void timeUp() {
        boolean wasSent = attempt != null || mayHaveRun;
        cancelAttempt();
        if (stream.began()) {
            breakOff("its time is over");
        } else if (wasSent) {
            end(answers.late(), "its time is over");
        } else {
            refuse("its time is over", FORWARD_AGAIN_MILLIS);
        }
    }

    /**
     * Failure: a caller leaves while a replica works for it. Symptom: replicas are busy with answers that nobody takes,
     * and those who wait get theirs late. Closing the connection ends the work; one that may not be run twice is left to
     * end, as its caller will ask what became of it. Of one that still waits for its connection nothing has left, so it
     * is given up too, and not sent elsewhere.
     */
    private void callerGone() {
        callerGone = true;
        if (attempt != null && attempt.mayHaveLeft() && route.kind() == Route.Kind.UNSAFE) {
            return;
        }
        cancelAttempt();
        end(0, "the caller left");
    }

    private void cancelAttempt() {
        if (attempt != null) {
            Attempt running = attempt;
            running.cancel();
            release(running);
        }
    }

    private void release(Attempt of) {
        if (attempt == of) {
            attempt = null;
        }
        suspicion.ended();
        of.target().ended(ask.model(), ask.adapter());
        ask.model().ifPresent(model -> context.demand().ended(model, EventLoop.nowMillis() - of.sentMillis()));
    }

    private void move(ExchangeState.Event event) {
        ExchangeState.CHART.next(state, event).ifPresent(next -> state = next);
    }

    private void end(int status, String why) {
        queued.end();
        move(ExchangeState.Event.END);
        lookAgainMillis = Long.MAX_VALUE;
        context.ended(
                this, new Outcome(ask, route, terms.service(), status, attempts, why, terms.arrivedMillis(), stream));
    }
}
