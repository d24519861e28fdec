package io.waxwingquay.side;

import io.waxwingquay.side.RequestState.Event;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.LoadReport;
import io.waxwingquay.transport.generated.PollAnswer;
import io.waxwingquay.transport.generated.Refusal;
import io.waxwingquay.transport.generated.ResolveAnswer;
import io.waxwingquay.transport.generated.Submission;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * One attempt and its answer so far. Units are tokens of a model call; a plain answer is one unit.
 */
final class Attempt {

    private final Submission submission;
    private final long deadlineMillis;
    private final CompletableFuture<Attempt> ended = new CompletableFuture<>();
    private final UnitBuffer buffer = new UnitBuffer();
    private RequestState state = RequestState.CHART.initial();
    private boolean dispatched;
    private Optional<Refusal> failure = Optional.empty();
    private Optional<Integer> statusCode = Optional.empty();
    private Optional<String> contentType = Optional.empty();
    private List<CompletableFuture<Void>> progressWaiters = new ArrayList<>();
    private long lastPolledMillis;
    private long endedMillis;
    private OptionalLong endReportedMillis = OptionalLong.empty();

    Attempt(Submission submission, long nowMillis) {
        this.submission = submission;
        this.deadlineMillis = nowMillis + submission.getBudgetMillis();
        this.lastPolledMillis = nowMillis;
    }

    Submission submission() {
        return submission;
    }

    String id() {
        return submission.getAttemptId();
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    boolean isNonIdempotent() {
        return submission.isSetPlain() && submission.getPlain().isNonIdempotent();
    }

    int priority() {
        return submission.isSetModel() ? submission.getModel().getPriority() : 0;
    }

    CompletableFuture<Attempt> whenEnded() {
        return ended;
    }

    synchronized RequestState state() {
        return state;
    }

    synchronized long units() {
        return buffer.units();
    }

    synchronized boolean start() {
        if (!transition(Event.START)) {
            return false;
        }
        dispatched = true;
        return true;
    }

    /** Appends a unit; one seen before is dropped. False says that a unit before it is missing. */
    boolean append(long offset, byte[] unit) {
        List<CompletableFuture<Void>> waiters;
        synchronized (this) {
            if (offset > buffer.units()) {
                return false;
            }
            if (offset < buffer.units() || state != RequestState.RUNNING) {
                return true;
            }
            buffer.append(unit);
            waiters = removeWaiters();
        }
        waiters.forEach(waiter -> waiter.complete(null));
        return true;
    }

    boolean finish(long nowMillis) {
        return end(Event.FINISH, Optional.empty(), nowMillis);
    }

    boolean finishPlain(int status, String type, byte[] body, long nowMillis) {
        append(0L, body);
        synchronized (this) {
            statusCode = Optional.of(status);
            contentType = Optional.of(type);
        }
        return finish(nowMillis);
    }

    boolean fail(Refusal refusal, long nowMillis) {
        return end(Event.FAIL, Optional.of(refusal), nowMillis);
    }

    /**
     * Cancels it; a non-idempotent call that was handed over goes on, since dropping its outcome would leave a
     * call that ran unknown for good.
     */
    boolean cancel(long nowMillis) {
        return isNonIdempotent() ? withdraw(nowMillis) : end(Event.CANCEL, Optional.empty(), nowMillis);
    }

    boolean withdraw(long nowMillis) {
        return end(Event.WITHDRAW, Optional.empty(), nowMillis);
    }

    /** Refuses it if it has not been handed over; a running attempt is left alone. */
    boolean rejectIfQueued(Refusal refusal, long nowMillis) {
        return end(Event.REFUSE, Optional.of(refusal), nowMillis);
    }

    /** What became of it, read as one. */
    synchronized ResolveAnswer resolution() {
        return new ResolveAnswer(execution(), state.wireState());
    }

    /** Whether the target ran it, as far as this side can tell. */
    synchronized Execution execution() {
        if (failure.isPresent()) {
            return failure.get().getExecution();
        }
        if (state == RequestState.DONE) {
            return Execution.RAN;
        }
        return dispatched || !state.hasEnded() ? Execution.UNKNOWN : Execution.DID_NOT_RUN;
    }

    /** Answers once there is news after the offset, or after the wait. */
    CompletableFuture<PollAnswer> poll(
            long fromOffset, long waitMillis, long nowMillis, java.util.function.Supplier<LoadReport> loadReport) {
        CompletableFuture<Void> progress = new CompletableFuture<>();
        synchronized (this) {
            lastPolledMillis = nowMillis;
            if (fromOffset < buffer.units() || state.hasEnded()) {
                progress.complete(null);
            } else {
                progressWaiters.add(progress);
                progress.completeOnTimeout(null, Math.max(0L, waitMillis), java.util.concurrent.TimeUnit.MILLISECONDS);
            }
        }
        return progress.thenApply(ignored -> pollAnswer(fromOffset, progress, loadReport.get()));
    }

    synchronized boolean isUnpolledFor(long durationMillis, long nowMillis) {
        return !state.hasEnded() && nowMillis - lastPolledMillis > durationMillis;
    }

    /** Notes that its entry was told of the refusal in the answer to its submission. */
    synchronized void noteEndReported(long nowMillis) {
        endReportedMillis = OptionalLong.of(nowMillis);
    }

    /** Whether its end was told, and has not been asked for again for a time. */
    synchronized boolean isEndDelivered(long quietMillis, long nowMillis) {
        boolean reported = endReportedMillis.isPresent() && nowMillis - endReportedMillis.getAsLong() > quietMillis;
        return reported || state == RequestState.CANCELLED;
    }

    synchronized boolean isEndedFor(long durationMillis, long nowMillis) {
        return state.hasEnded() && nowMillis - endedMillis > durationMillis;
    }

    /** Drops a long finished answer's bytes and keeps its outcome. */
    synchronized void releaseAnswer() {
        buffer.release();
    }

    private synchronized PollAnswer pollAnswer(
            long fromOffset, CompletableFuture<Void> progress, LoadReport loadReport) {
        progressWaiters.remove(progress);
        PollAnswer answer = new PollAnswer(state.wireState(), new ArrayList<>(), loadReport);
        if (buffer.hasUnitsFrom(fromOffset)) {
            answer.getChunks().add(buffer.chunkFrom(fromOffset));
        }
        if (state == RequestState.DONE) {
            answer.setTotalUnits(buffer.units());
        }
        if (state.hasEnded()) {
            endReportedMillis = OptionalLong.of(lastPolledMillis);
        }
        failure.ifPresent(answer::setFailure);
        statusCode.ifPresent(answer::setStatusCode);
        contentType.ifPresent(answer::setContentType);
        return answer;
    }

    private boolean transition(Event event) {
        Optional<RequestState> next = state.next(event);
        next.ifPresent(found -> state = found);
        return next.isPresent();
    }

    private boolean end(Event event, Optional<Refusal> refusal, long nowMillis) {
        List<CompletableFuture<Void>> waiters;
        synchronized (this) {
            if (!transition(event)) {
                return false;
            }
            failure = refusal;
            endedMillis = nowMillis;
            waiters = removeWaiters();
        }
        waiters.forEach(waiter -> waiter.complete(null));
        ended.complete(this);
        return true;
    }

    private List<CompletableFuture<Void>> removeWaiters() {
        List<CompletableFuture<Void>> removed = progressWaiters;
        progressWaiters = new ArrayList<>();
        return removed;
    }

    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
