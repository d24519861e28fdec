package io.waxwingquay.entry;

import io.waxwingquay.membership.Side;
import io.waxwingquay.transport.SideProtocol;
import io.waxwingquay.transport.TransportException;
import io.waxwingquay.transport.generated.AttemptState;
import io.waxwingquay.transport.generated.Chunk;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.PollAnswer;
import io.waxwingquay.transport.generated.PollRequest;
import io.waxwingquay.transport.generated.Refusal;
import io.waxwingquay.transport.generated.RefusalReason;
import io.waxwingquay.transport.generated.Submission;
import io.waxwingquay.transport.generated.SubmitAnswer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * Carries one attempt through one side process: hands it over, polls its answer, and takes it up again over a
 * fresh connection when a connection is lost. It never moves the attempt to another side.
 *
 * <p>The steps run one after another, each started by the end of the one before, so the fields need no lock.
 */
final class AttemptRunner {

    private static final System.Logger LOG = System.getLogger("waxwingquay.entry");
    private static final int MAXIMUM_LOSSES_IN_A_ROW = 4;
    private static final int MAXIMUM_EMPTY_POLLS_AFTER_DONE = 8;

    private final EntryParts parts;
    private final Side side;
    private final Submission submission;
    private final long deadlineAtMillis;
    private final AnswerSink sink;
    private final StreamAssembler assembler = new StreamAssembler();
    private final CompletableFuture<AttemptEnd> end = new CompletableFuture<>();
    private final long startedAtMillis;

    private RequestPhase phase = RequestPhase.CHART.initial();
    private boolean maySubmit = true;
    private boolean mayBeDelivered;
    private long acceptedEpoch;
    private boolean accepted;
    private int lossesInARow;
    private int emptyPollsAfterDone;

    AttemptRunner(EntryParts parts, Side side, Submission submission, long deadlineAtMillis, AnswerSink sink) {
        this.parts = parts;
        this.side = side;
        this.submission = submission;
        this.deadlineAtMillis = deadlineAtMillis;
        this.sink = sink;
        this.startedAtMillis = parts.clock().monotonicMillis();
    }

    /** Hands the attempt over and gathers its answer. */
    CompletableFuture<AttemptEnd> run() {
        LOG.log(
                System.Logger.Level.DEBUG,
                () -> "entry: request " + submission.getRequestId() + " goes to side " + side.id() + " as attempt "
                        + submission.getAttemptId() + ".");
        parts.board().noteSent(side.id());
        end.whenComplete((ended, failure) -> parts.board().noteOver(side.id()));
        guarded(this::submit);
        return end;
    }

    /** Gathers the answer of an attempt that another process handed over; never hands it over itself. */
    CompletableFuture<AttemptEnd> attach() {
        parts.board().noteSent(side.id());
        end.whenComplete((ended, failure) -> parts.board().noteOver(side.id()));
        maySubmit = false;
        mayBeDelivered = true;
        accepted = true;
        acceptedEpoch = side.epoch();
        advance(RequestPhase.Event.ACCEPTED);
        guarded(this::poll);
        return end;
    }

    private void submit() {
        if (isOver()) {
            return;
        }
        submission.setBudgetMillis(parts.remainingMillis(deadlineAtMillis));
        then(protocol().submit(submission), this::onSubmitted);
    }

    private void onSubmitted(SubmitAnswer answer, Throwable failure) {
        if (failure != null) {
            onLost(failure);
            return;
        }
        parts.membership().noteReached(side.id(), answer.getSideEpoch(), true);
        parts.board().noteReport(side.id(), answer.getLoad(), parts.clock().monotonicMillis());
        if (!answer.isAccepted()) {
            onRefused(answer);
            return;
        }
        if (accepted && answer.getSideEpoch() != acceptedEpoch) {
            onReplacedSide();
            return;
        }
        accepted = true;
        acceptedEpoch = answer.getSideEpoch();
        mayBeDelivered = true;
        lossesInARow = 0;
        advance(RequestPhase.Event.ACCEPTED);
        poll();
    }

    /**
     * A side that was restarted refuses truthfully for its own epoch, but the epoch before may have run an
     * earlier submission whose answer was lost. Then only "unknown" is true.
     */
    private void onRefused(SubmitAnswer answer) {
        Refusal refusal = answer.getRefusal();
        if (refusal.getReason() == RefusalReason.LEAVING) {
            parts.membership().noteLeaving(side.id(), answer.getSideEpoch());
        }
        boolean otherEpoch = answer.getSideEpoch() != (accepted ? acceptedEpoch : side.epoch());
        boolean doubtful = mayBeDelivered && (otherEpoch || refusal.getReason() == RefusalReason.WRONG_EPOCH);
        Execution execution = doubtful ? Execution.UNKNOWN : refusal.getExecution();
        finish(AttemptEnd.failed(refusal, execution, !mayBeDelivered && execution == Execution.DID_NOT_RUN));
    }

    private void onReplacedSide() {
        protocol().cancel(submission.getAttemptId());
        finish(AttemptEnd.broken(
                AttemptEnd.Kind.LOST,
                Execution.UNKNOWN,
                "side '" + side.id() + "' was restarted while it held the request"));
    }

    private void poll() {
        if (isOver()) {
            return;
        }
        long waitMillis =
                Math.min(parts.settings().pollWaitMillis(), Math.max(1, parts.remainingMillis(deadlineAtMillis)));
        PollRequest request = new PollRequest(submission.getAttemptId(), assembler.nextOffset(), waitMillis);
        then(protocol().poll(request), this::onPolled);
    }

    private void onPolled(PollAnswer answer, Throwable failure) {
        if (failure != null) {
            onLost(failure);
            return;
        }
        lossesInARow = 0;
        advance(RequestPhase.Event.PROGRESS);
        parts.board().noteReport(side.id(), answer.getLoad(), parts.clock().monotonicMillis());
        if (answer.getState() == AttemptState.ABSENT) {
            onReplacedSide();
            return;
        }
        List<Chunk> chunks = answer.isSetChunks() ? answer.getChunks() : List.of();
        List<Chunk> ready = assembler.accept(chunks);
        then(deliver(ready), (done, gone) -> afterDelivery(answer, !ready.isEmpty(), gone));
    }

    private CompletableFuture<Void> deliver(List<Chunk> ready) {
        CompletableFuture<Void> delivered = CompletableFuture.completedFuture(null);
        for (Chunk chunk : ready) {
            delivered =
                    delivered.thenCompose(before -> sink.accept(chunk.getOffset(), chunk.getBytes(), chunk.getUnits()));
        }
        return delivered;
    }

    private void afterDelivery(PollAnswer answer, boolean progress, Throwable gone) {
        if (gone != null) {
            endCallerGone();
            return;
        }
        switch (answer.getState()) {
            case DONE -> onDone(answer, progress);
            case FAILED, CANCELLED -> onFailed(answer);
            default -> poll();
        }
    }

    private void onDone(PollAnswer answer, boolean progress) {
        if (!answer.isSetTotalUnits() || assembler.nextOffset() > answer.getTotalUnits()) {
            finish(AttemptEnd.broken(
                    AttemptEnd.Kind.INCOMPLETE, Execution.RAN, "answer of side '" + side.id() + "' has no valid end"));
        } else if (assembler.nextOffset() == answer.getTotalUnits()) {
            long tookMillis = parts.clock().monotonicMillis() - startedAtMillis;
            parts.board().noteLatency(side.id(), tookMillis);
            String contentType = answer.isSetContentType() ? answer.getContentType() : "";
            finish(AttemptEnd.done(answer.getTotalUnits(), answer.getStatusCode(), contentType));
        } else if (!progress && ++emptyPollsAfterDone > MAXIMUM_EMPTY_POLLS_AFTER_DONE) {
            finish(AttemptEnd.broken(
                    AttemptEnd.Kind.INCOMPLETE,
                    Execution.RAN,
                    "answer of side '" + side.id() + "' lacks what follows offset " + assembler.nextOffset()));
        } else {
            poll();
        }
    }

    private void onFailed(PollAnswer answer) {
        Refusal refusal = answer.isSetFailure()
                ? answer.getFailure()
                : new Refusal(
                        RefusalReason.TARGET_DOWN, "side '" + side.id() + "' gave no reason", 0, Execution.UNKNOWN);
        Execution execution = assembler.nextOffset() > 0 && refusal.getExecution() == Execution.DID_NOT_RUN
                ? Execution.RAN
                : refusal.getExecution();
        finish(AttemptEnd.failed(refusal, execution, execution == Execution.DID_NOT_RUN));
    }

    /**
     * A connection that something in between has forgotten stays silent for good while new ones work. The
     * same attempt is asked for again over a fresh connection from the offset reached; the side process
     * attaches it to the run it has, so nothing runs twice and no piece is lost.
     */
    private void onLost(Throwable failure) {
        boolean delivered = !(failure instanceof TransportException lost) || lost.mayHaveBeenDelivered();
        mayBeDelivered |= delivered;
        if (!mayBeDelivered) {
            parts.membership().noteReached(side.id(), side.epoch(), false);
            finish(AttemptEnd.broken(
                    AttemptEnd.Kind.LOST, Execution.DID_NOT_RUN, "side '" + side.id() + "' was not reached"));
            return;
        }
        if (++lossesInARow > MAXIMUM_LOSSES_IN_A_ROW) {
            parts.membership().noteReached(side.id(), side.epoch(), false);
            finish(AttemptEnd.broken(
                    AttemptEnd.Kind.LOST,
                    Execution.UNKNOWN,
                    "side '" + side.id() + "' went silent; whether the request ran is unknown"));
            return;
        }
        parts.metrics().resumed();
        advance(RequestPhase.Event.CONNECTION_LOST);
        long delayMillis = parts.backoff().delayMillis(lossesInARow - 1, parts.random());
        parts.executor().schedule(() -> guarded(this::resume), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void resume() {
        if (maySubmit) {
            submit();
        } else if (!isOver()) {
            advance(RequestPhase.Event.ACCEPTED);
            poll();
        }
    }

    private boolean isOver() {
        if (sink.isAbandoned()) {
            endCallerGone();
        } else if (parts.remainingMillis(deadlineAtMillis) <= 0) {
            Execution execution = mayBeDelivered ? Execution.UNKNOWN : Execution.DID_NOT_RUN;
            cancel();
            finish(AttemptEnd.broken(AttemptEnd.Kind.DEADLINE, execution, "the deadline has passed"));
        }
        return end.isDone();
    }

    private void endCallerGone() {
        cancel();
        finish(AttemptEnd.broken(
                AttemptEnd.Kind.CALLER_GONE,
                mayBeDelivered ? Execution.UNKNOWN : Execution.DID_NOT_RUN,
                "the caller has gone"));
    }

    private void cancel() {
        boolean repeatable = !submission.isSetPlain() || !submission.getPlain().isNonIdempotent();
        if (mayBeDelivered && repeatable) {
            protocol().cancel(submission.getAttemptId());
        }
    }

    private SideProtocol protocol() {
        return parts.connections().to(side.address());
    }

    private void advance(RequestPhase.Event event) {
        phase = phase.on(event);
    }

    private void finish(AttemptEnd ended) {
        advance(ended.kind() == AttemptEnd.Kind.DONE ? RequestPhase.Event.COMPLETED : RequestPhase.Event.ENDED);
        end.complete(ended);
    }

    private <T> void then(CompletableFuture<T> future, BiConsumer<T, Throwable> step) {
        future.whenCompleteAsync(
                (value, failure) -> guarded(() -> step.accept(value, unwrap(failure))), parts.executor());
    }

    private void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException failure) {
            end.completeExceptionally(failure);
        }
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
