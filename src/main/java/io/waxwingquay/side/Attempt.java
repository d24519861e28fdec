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
 * One attempt and the part of its answer received so far. A unit is a token of a model call; a plain answer is a single
 * unit. Safe for concurrent use.
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

    /** Appends a unit, or drops it if it was received before. Returns false if an earlier unit is missing. */
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
     * Cancels the attempt. A non-idempotent call that was sent to the target continues: were its outcome dropped,
     * nobody could ever tell whether it ran.
     */
    boolean cancel(long nowMillis) {
        return isNonIdempotent() ? withdraw(nowMillis) : end(Event.CANCEL, Optional.empty(), nowMillis);
    }

    /** Cancels the attempt if it has not been sent to the target. */
    boolean withdraw(long nowMillis) {
        return end(Event.WITHDRAW, Optional.empty(), nowMillis);
    }

    /** Rejects the attempt if it has not been sent to the target; a running attempt continues. */
    boolean rejectIfQueued(Refusal refusal, long nowMillis) {
        return end(Event.REFUSE, Optional.of(refusal), nowMillis);
    }

    /** Returns the execution and state of the attempt, read atomically. */
    synchronized ResolveAnswer resolution() {
        return new ResolveAnswer(execution(), state.wireState());
    }

    /** Returns whether the target ran the attempt, as far as this side can tell. */
    synchronized Execution execution() {
        if (failure.isPresent()) {
            return failure.get().getExecution();
        }
        if (state == RequestState.DONE) {
            return Execution.RAN;
        }
        return dispatched || !state.hasEnded() ? Execution.UNKNOWN : Execution.DID_NOT_RUN;
    }

    /** Answers a poll once there are units from the offset on, once the attempt has ended, or when the wait is over. */
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

    /** Returns whether the attempt has not ended and has not been polled for longer than a duration. */
    synchronized boolean isUnpolledFor(long durationMillis, long nowMillis) {
        return !state.hasEnded() && nowMillis - lastPolledMillis > durationMillis;
    }

    /** Records that the answer to the submission reported the rejection to the entry. */
    synchronized void noteEndReported(long nowMillis) {
        endReportedMillis = OptionalLong.of(nowMillis);
    }

    /** Returns whether the end was reported, and the entry has not polled again for a quiet period after that. */
    synchronized boolean isEndDelivered(long quietMillis, long nowMillis) {
        boolean reported = endReportedMillis.isPresent() && nowMillis - endReportedMillis.getAsLong() > quietMillis;
        return reported || state == RequestState.CANCELLED;
    }

    /** Returns whether the attempt ended longer ago than a duration. */
    synchronized boolean isEndedFor(long durationMillis, long nowMillis) {
        return state.hasEnded() && nowMillis - endedMillis > durationMillis;
    }

    /** Drops the bytes of the answer and keeps its outcome. */
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
