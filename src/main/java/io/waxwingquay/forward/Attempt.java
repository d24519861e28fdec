package io.waxwingquay.forward;

import io.waxwingquay.manifest.Route;
import io.waxwingquay.net.BufferBudget;
import io.waxwingquay.net.ClientCall;
import io.waxwingquay.net.ClientListener;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.MessageHead;
import io.waxwingquay.net.PausableSource;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;

/** One attempt: a request as sent to one replica, and the response of that replica. */
final class Attempt implements ClientListener, PausableSource {

    /**
     * The most bytes of a response that are buffered. A response is held until it is complete, so that an incomplete
     * one can be replaced by that of another replica; a longer one is an error.
     */
    private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

    /** The most bytes of one event of a stream; faulty replicas may never end one. */
    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    /** A shorter response or event is held also while there is no room for it: it soon ends, and few are that long. */
    private static final int SMALL_BYTES = 16_384;

    /** Time after a pause in which what has arrived meanwhile is read; silence until then is no sign of a failure. */
    private static final long RESUME_GRACE_MILLIS = 400L;

    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int FIRST_REDIRECTION = 300;
    private static final int SERVER_ERROR = 500;

    private final Exchange exchange;
    private final Target target;
    private final long sentMillis = EventLoop.nowMillis();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private final EventSplitter splitter = new EventSplitter(this::onPart);
    private final BufferBudget.Holding holding;
    private final StreamRun run;
    private ClientCall call;
    private int status;
    private HttpFields fields = HttpFields.EMPTY;
    private MessageCodec.ResponseHead response;
    private boolean streaming;
    private boolean finished;
    private boolean bodyStarted;
    private boolean eventReceived;
    private boolean silenceNoted;
    private long firstEventMillis;
    private long lastReceivedMillis = sentMillis;
    private boolean paused;

    /** A replica breaks off a response that its caller does not read. */
    private boolean wasPaused;

    private long resumedMillis = Long.MIN_VALUE / 2;

    Attempt(Exchange exchange, Target target) {
        this.exchange = exchange;
        this.target = target;
        this.holding = exchange.caller().openHolding();
        this.run = exchange.newRun();
    }

    Target target() {
        return target;
    }

    long sentMillis() {
        return sentMillis;
    }

    /** Returns when bytes of the response came last, or when the request was sent if none have. */
    long lastReceivedMillis() {
        return lastReceivedMillis;
    }

    /** Waits for the replica anew, as no other one has taken the request over. */
    void awaitAgain(long nowMillis) {
        lastReceivedMillis = nowMillis;
    }

    /** Returns whether nothing has come for so long that another replica should take the request over. */
    boolean isStalled(Route route, ExchangeState state, long nowMillis) {
        if (paused) {
            return false;
        }
        long silentMillis = nowMillis - lastReceivedMillis;
        return state == ExchangeState.STREAMING
                ? WaitPolicy.isStreamStalled(silentMillis)
                : WaitPolicy.isAnswerOverdue(
                        route, silentMillis, target.attemptHistory().answerMillis());
    }

    /** Returns whether the replica may be unresponsive; its silence means nothing while its response is not read. */
    boolean mayBeUnresponsive(long nowMillis) {
        return !paused
                && nowMillis - resumedMillis > RESUME_GRACE_MILLIS
                && target.mayBeUnresponsive(sentMillis, nowMillis);
    }

    /** {@inheritDoc} */
    @Override
    public void pause() {
        if (!finished) {
            paused = true;
            wasPaused = true;
            call.pauseReading();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void resume() {
        if (paused) {
            paused = false;
            resumedMillis = EventLoop.nowMillis();
            lastReceivedMillis = resumedMillis;
            call.resumeReading();
        }
    }

    HttpFields fields() {
        return fields;
    }

    int status() {
        return status;
    }

    /** Returns how the stream ended, for logs: what marked its end, and how much of an event was left over. */
    String describeStreamEnd() {
        String end = MessageHead.isDelimitedByClose(fields) ? ", ended by the close of its connection" : "";
        int leftoverBytes = splitter.incompleteEvent().length;
        return leftoverBytes == 0 ? end : end + ", " + leftoverBytes + " bytes into an event";
    }

    StreamRun run() {
        return run;
    }

    /** Returns what came of a stream that has had no event. */
    byte[] leadingParts() {
        return splitter.leadingParts();
    }

    boolean isFinished() {
        return finished;
    }

    void call(ClientCall newCall) {
        call = newCall;
        if (finished) {
            call.cancel();
        }
    }

    /** Returns whether the replica may have received any of the request. */
    boolean mayHaveBeenSent() {
        return call != null && call.mayHaveBeenSent();
    }

    /** Cancels the attempt; closing the connection makes the replica stop its work. */
    void cancel() {
        if (!finished) {
            finish();
            if (call != null) {
                call.cancel();
            }
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onHead(int newStatus, HttpFields newFields) {
        status = newStatus;
        fields = newFields;
        noteReceived();
        response = exchange.codec().readResponse(status, fields);
        if (!response.id().isEmpty() && !response.id().equals(exchange.head().id())) {
            // A late or duplicated response to another request; responses on this connection can't be told apart any
            // more.
            abort("an answer to request " + response.id());
            return;
        }
        if (isSuccess() && !response.authenticated()) {
            // A head that lost some of its lines; what follows it can't be trusted either.
            abort("a success without an authentication code");
            return;
        }
        if (response.replicaId().map(target.id()::equals).orElse(true)) {
            target.answerBegan(fields.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString()));
            exchange.rateLimitAnnounced(target, response.limitPerSecond());
            if (response.leaving()) {
                target.announcedLeaving();
            }
            response.refusesForMillis().ifPresent(millis -> target.announcedRefusal(millis, EventLoop.nowMillis()));
        }
        streaming = status == OK && exchange.isStream() && !response.didNotRun();
        if (streaming) {
            exchange.streamAccepted(this);
        } else {
            exchange.answerBegan(this);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void onBody(ByteBuffer bytes) {
        if (finished) {
            return;
        }
        noteReceived();
        bodyStarted = true;
        if (streaming) {
            splitter.feed(bytes);
            hold(splitter.pendingBytes(), MAX_EVENT_BYTES);
            return;
        }
        if (hold(body.size() + bytes.remaining(), MAX_RESPONSE_BYTES)) {
            byte[] part = new byte[bytes.remaining()];
            bytes.get(part);
            body.write(part, 0, part.length);
        }
    }

    /** Counts what is held of the response; aborts the attempt if that is too much, and returns whether it goes on. */
    private boolean hold(int bytes, int maxBytes) {
        if (finished) {
            return false;
        }
        if (bytes > maxBytes) {
            abort("a response or an event of more than " + maxBytes + " bytes");
            return false;
        }
        holding.set(0);
        if (bytes > SMALL_BYTES && !exchange.caller().makeRoom(bytes)) {
            abort("no memory left to hold its response");
            return false;
        }
        holding.set(bytes);
        return true;
    }

    private void finish() {
        finished = true;
        holding.close();
    }

    /** {@inheritDoc} */
    @Override
    public void onComplete() {
        if (finished) {
            return;
        }
        finish();
        if (streaming && isStreamCut()) {
            broken(true, "its stream was cut" + describeStreamEnd());
            return;
        }
        if (!streaming && isBodyMissing()) {
            broken(true, "its answer has no body, ended by the close of its connection");
            return;
        }
        if (status < SERVER_ERROR && !response.didNotRun()) {
            exchange.suspicion().answered(target, sentMillis);
        }
        if (streaming && run.isBehind()) {
            exchange.failed(this, true, "its run ended before the last event that its caller has");
        } else if (streaming) {
            exchange.streamEnded(this);
        } else {
            exchange.answered(this, response, body.toByteArray());
        }
    }

    /**
     * Returns whether the stream ended before its last event. A replica that crashes may close its connection in order,
     * which also ends a complete stream that has neither a length nor chunks.
     */
    private boolean isStreamCut() {
        return !splitter.isBetweenEvents() || !eventReceived && MessageHead.isDelimitedByClose(fields);
    }

    /**
     * Returns whether a success has no byte of the body that its head announces. A replica that crashes after the head
     * may close its connection in order, which also ends a whole body that has neither a length nor chunks.
     */
    private boolean isBodyMissing() {
        return isSuccess()
                && body.size() == 0
                && status != NO_CONTENT
                && !HttpMethod.HEAD.is(exchange.caller().request().method())
                && MessageHead.isDelimitedByClose(fields);
    }

    private boolean isSuccess() {
        return status >= OK && status < FIRST_REDIRECTION;
    }

    /** {@inheritDoc} */
    @Override
    public void onFailure(boolean sent, String why) {
        if (!finished) {
            finish();
            broken(sent, why);
        }
    }

    private void broken(boolean sent, String why) {
        if (sent && !wasPaused) {
            SuspectedCrash.Phase phase =
                    hasBegunToAnswer() ? SuspectedCrash.Phase.WITHIN_ANSWER : SuspectedCrash.Phase.BEFORE_ANSWER;
            exchange.suspicion().crashed(target, new SuspectedCrash(phase, runMillis(EventLoop.nowMillis())));
        }
        exchange.failed(this, sent, why);
    }

    /** Returns how long the replica ran the request by a given time, not counting a wait for its first event. */
    private long runMillis(long untilMillis) {
        return untilMillis - (eventReceived ? firstEventMillis : sentMillis);
    }

    /** Notes a stalled attempt as a possible crash if the replica sends nothing to any other request either. */
    void noteSilence() {
        if (!silenceNoted && target.isSilentSince(lastReceivedMillis)) {
            silenceNoted = true;
            exchange.suspicion()
                    .crashed(target, new SuspectedCrash(SuspectedCrash.Phase.SILENT, runMillis(lastReceivedMillis)));
        }
    }

    /** Returns whether the replica survived the start of its answer: a part of a first event may precede a crash. */
    private boolean hasBegunToAnswer() {
        return streaming ? eventReceived : bodyStarted;
    }

    /** Records in the replica's history that it answered, and how long that took. */
    void recordSuccess() {
        long nowMillis = EventLoop.nowMillis();
        target.attemptHistory().succeeded(nowMillis - sentMillis, nowMillis);
    }

    /**
     * Records in the replica's history that it gave no answer, or that it can't be reached if nothing was sent. A replica
     * that declines requests returns those that wait for a connection, and is not unreachable.
     */
    void recordFailure(boolean sent) {
        long nowMillis = EventLoop.nowMillis();
        if (sent) {
            target.attemptHistory().failed(nowMillis);
        } else if (!target.declinesRequests(nowMillis)) {
            target.attemptHistory().unreachable(nowMillis);
        }
    }

    private void noteReceived() {
        lastReceivedMillis = EventLoop.nowMillis();
        target.answerReceived(lastReceivedMillis);
    }

    private void onPart(StreamPart part) {
        if (finished) {
            return;
        }
        if (part.isEvent()) {
            if (eventReceived) {
                exchange.suspicion().answerContinues(target, sentMillis);
            } else {
                eventReceived = true;
                firstEventMillis = lastReceivedMillis;
                exchange.suspicion().answerBegan(target, sentMillis);
            }
            exchange.answerBegan(this);
        }
        exchange.partReceived(this, part);
    }

    private void abort(String why) {
        cancel();
        exchange.failed(this, true, why);
    }
}
