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
 * Runs one attempt at one side process: submits it, polls its answer, and resumes it over a new connection when a
 * connection is lost. It never moves the attempt to another side.
 *
 * <p>Each step starts when the previous one has completed, so the fields need no lock.
 */
final class AttemptRunner {

    private static final System.Logger LOG = System.getLogger("waxwingquay.entry");
    private static final int MAXIMUM_CONSECUTIVE_LOSSES = 4;
    private static final int MAXIMUM_EMPTY_POLLS_AFTER_DONE = 8;

    private final EntryComponents components;
    private final Side side;
    private final Submission submission;
    private final long deadlineAtMillis;
    private final AnswerSink sink;
    private final StreamAssembler assembler = new StreamAssembler();
    private final CompletableFuture<AttemptResult> completion = new CompletableFuture<>();
    private final long startedAtMillis;

    private AttemptPhase phase = AttemptPhase.CHART.initial();
    private boolean maySubmit = true;
    private boolean possiblyDelivered;
    private long acceptedEpoch;
    private boolean accepted;
    private int consecutiveLosses;
    private int emptyPollsAfterDone;

    AttemptRunner(
            EntryComponents components, Side side, Submission submission, long deadlineAtMillis, AnswerSink sink) {
        this.components = components;
        this.side = side;
        this.submission = submission;
        this.deadlineAtMillis = deadlineAtMillis;
        this.sink = sink;
        this.startedAtMillis = components.clock().monotonicMillis();
    }

    /** Submits the attempt and collects its answer. */
    CompletableFuture<AttemptResult> run() {
        LOG.log(
                System.Logger.Level.DEBUG,
                () -> "entry: request " + submission.getRequestId() + " goes to side " + side.id() + " as attempt "
                        + submission.getAttemptId() + ".");
        components.loadBoard().recordSent(side.id());
        completion.whenComplete((result, failure) -> components.loadBoard().recordCompletion(side.id()));
        runGuarded(this::submit);
        return completion;
    }

    /** Collects the answer of an attempt that another process has submitted; never submits it itself. */
    CompletableFuture<AttemptResult> attach() {
        components.loadBoard().recordSent(side.id());
        completion.whenComplete((result, failure) -> components.loadBoard().recordCompletion(side.id()));
        maySubmit = false;
        possiblyDelivered = true;
        accepted = true;
        acceptedEpoch = side.epoch();
        advance(AttemptPhase.Event.ACCEPTED);
        runGuarded(this::poll);
        return completion;
    }

    private void submit() {
        if (finishIfExpired()) {
            return;
        }
        submission.setBudgetMillis(components.remainingMillis(deadlineAtMillis));
        continueWith(protocol().submit(submission), this::onSubmitted);
    }

    private void onSubmitted(SubmitAnswer answer, Throwable failure) {
        if (failure != null) {
            onConnectionLost(failure);
            return;
        }
        components.membership().noteReached(side.id(), answer.getSideEpoch(), true);
        components
                .loadBoard()
                .recordReport(side.id(), answer.getLoad(), components.clock().monotonicMillis());
        if (!answer.isAccepted()) {
            onRefused(answer);
            return;
        }
        if (accepted && answer.getSideEpoch() != acceptedEpoch) {
            onSideRestarted();
            return;
        }
        accepted = true;
        acceptedEpoch = answer.getSideEpoch();
        possiblyDelivered = true;
        consecutiveLosses = 0;
        advance(AttemptPhase.Event.ACCEPTED);
        poll();
    }

    /**
     * Reports the execution as unknown when a restarted side refuses the attempt. Its refusal holds for its own epoch
     * only: the previous epoch may have run an earlier submission whose answer was lost.
     */
    private void onRefused(SubmitAnswer answer) {
        Refusal refusal = answer.getRefusal();
        if (refusal.getReason() == RefusalReason.LEAVING) {
            components.membership().noteLeaving(side.id(), answer.getSideEpoch());
        }
        boolean differentEpoch = answer.getSideEpoch() != (accepted ? acceptedEpoch : side.epoch());
        boolean mayHaveRunEarlier =
                possiblyDelivered && (differentEpoch || refusal.getReason() == RefusalReason.WRONG_EPOCH);
        Execution execution = mayHaveRunEarlier ? Execution.UNKNOWN : refusal.getExecution();
        finish(AttemptResult.failed(refusal, execution, !possiblyDelivered && execution == Execution.DID_NOT_RUN));
    }

    private void onSideRestarted() {
        protocol().cancel(submission.getAttemptId());
        finish(AttemptResult.interrupted(
                AttemptResult.Kind.LOST,
                Execution.UNKNOWN,
                "side '" + side.id() + "' was restarted while the request was assigned to it"));
    }

    private void poll() {
        if (finishIfExpired()) {
            return;
        }
        long waitMillis = Math.min(
                components.configuration().pollWaitMillis(), Math.max(1, components.remainingMillis(deadlineAtMillis)));
        PollRequest request = new PollRequest(submission.getAttemptId(), assembler.nextOffset(), waitMillis);
        continueWith(protocol().poll(request), this::onPolled);
    }

    private void onPolled(PollAnswer answer, Throwable failure) {
        if (failure != null) {
            onConnectionLost(failure);
            return;
        }
        consecutiveLosses = 0;
        advance(AttemptPhase.Event.PROGRESS);
        components
                .loadBoard()
                .recordReport(side.id(), answer.getLoad(), components.clock().monotonicMillis());
        if (answer.getState() == AttemptState.ABSENT) {
            onSideRestarted();
            return;
        }
        List<Chunk> chunks = answer.isSetChunks() ? answer.getChunks() : List.of();
        List<Chunk> ready = assembler.accept(chunks);
        continueWith(
                deliver(ready), (done, deliveryFailure) -> afterDelivery(answer, !ready.isEmpty(), deliveryFailure));
    }

    private CompletableFuture<Void> deliver(List<Chunk> ready) {
        CompletableFuture<Void> delivered = CompletableFuture.completedFuture(null);
        for (Chunk chunk : ready) {
            delivered =
                    delivered.thenCompose(before -> sink.accept(chunk.getOffset(), chunk.getBytes(), chunk.getUnits()));
        }
        return delivered;
    }

    private void afterDelivery(PollAnswer answer, boolean madeProgress, Throwable failure) {
        if (failure != null) {
            finishCallerGone();
            return;
        }
        switch (answer.getState()) {
            case DONE -> onDone(answer, madeProgress);
            case FAILED, CANCELLED -> onFailed(answer);
            default -> poll();
        }
    }

    private void onDone(PollAnswer answer, boolean madeProgress) {
        if (!answer.isSetTotalUnits() || assembler.nextOffset() > answer.getTotalUnits()) {
            finish(AttemptResult.interrupted(
                    AttemptResult.Kind.INCOMPLETE,
                    Execution.RAN,
                    "answer of side '" + side.id() + "' has no valid end"));
        } else if (assembler.nextOffset() == answer.getTotalUnits()) {
            long tookMillis = components.clock().monotonicMillis() - startedAtMillis;
            components.loadBoard().recordLatency(side.id(), tookMillis);
            String contentType = answer.isSetContentType() ? answer.getContentType() : "";
            finish(AttemptResult.completed(answer.getTotalUnits(), answer.getStatusCode(), contentType));
        } else if (!madeProgress && ++emptyPollsAfterDone > MAXIMUM_EMPTY_POLLS_AFTER_DONE) {
            finish(AttemptResult.interrupted(
                    AttemptResult.Kind.INCOMPLETE,
                    Execution.RAN,
                    "answer of side '" + side.id() + "' lacks the chunks from offset " + assembler.nextOffset()));
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
        finish(AttemptResult.failed(refusal, execution, execution == Execution.DID_NOT_RUN));
    }

    /**
     * Resumes the same attempt over a new connection from the next offset. If a network element drops the state of a
     * connection, no more data arrives over it while new connections work. The side process attaches the resend to the
     * run in progress, so nothing runs twice and no chunk is lost.
     */
    private void onConnectionLost(Throwable failure) {
        boolean callPossiblyDelivered =
                !(failure instanceof TransportException transportFailure) || transportFailure.mayHaveBeenDelivered();
        possiblyDelivered |= callPossiblyDelivered;
        if (!possiblyDelivered) {
            components.membership().noteReached(side.id(), side.epoch(), false);
            finish(AttemptResult.interrupted(
                    AttemptResult.Kind.LOST, Execution.DID_NOT_RUN, "side '" + side.id() + "' is unreachable"));
            return;
        }
        if (++consecutiveLosses > MAXIMUM_CONSECUTIVE_LOSSES) {
            components.membership().noteReached(side.id(), side.epoch(), false);
            finish(AttemptResult.interrupted(
                    AttemptResult.Kind.LOST,
                    Execution.UNKNOWN,
                    "side '" + side.id() + "' is unresponsive; whether the request ran is unknown"));
            return;
        }
        components.metrics().resumed();
        advance(AttemptPhase.Event.CONNECTION_LOST);
        long delayMillis = components.backoff().delayMillis(consecutiveLosses - 1, components.random());
        components.executor().schedule(() -> runGuarded(this::resume), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void resume() {
        if (maySubmit) {
            submit();
        } else if (!finishIfExpired()) {
            advance(AttemptPhase.Event.ACCEPTED);
            poll();
        }
    }

    private boolean finishIfExpired() {
        if (sink.isAbandoned()) {
            finishCallerGone();
        } else if (components.remainingMillis(deadlineAtMillis) <= 0) {
            Execution execution = possiblyDelivered ? Execution.UNKNOWN : Execution.DID_NOT_RUN;
            cancel();
            finish(AttemptResult.interrupted(AttemptResult.Kind.DEADLINE, execution, "the deadline has passed"));
        }
        return completion.isDone();
    }

    private void finishCallerGone() {
        cancel();
        finish(AttemptResult.interrupted(
                AttemptResult.Kind.CALLER_GONE,
                possiblyDelivered ? Execution.UNKNOWN : Execution.DID_NOT_RUN,
                "the caller has disconnected"));
    }

    private void cancel() {
        boolean idempotent = !submission.isSetPlain() || !submission.getPlain().isNonIdempotent();
        if (possiblyDelivered && idempotent) {
            protocol().cancel(submission.getAttemptId());
        }
    }

    private SideProtocol protocol() {
        return components.connections().to(side.address());
    }

    private void advance(AttemptPhase.Event event) {
        phase = phase.next(event);
    }

    private void finish(AttemptResult result) {
        advance(result.kind() == AttemptResult.Kind.DONE ? AttemptPhase.Event.COMPLETED : AttemptPhase.Event.ENDED);
        completion.complete(result);
    }

    private <T> void continueWith(CompletableFuture<T> future, BiConsumer<T, Throwable> step) {
        future.whenCompleteAsync(
                (value, failure) -> runGuarded(() -> step.accept(value, unwrap(failure))), components.executor());
    }

    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException failure) {
            completion.completeExceptionally(failure);
        }
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
