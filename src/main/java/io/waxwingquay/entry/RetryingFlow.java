package io.waxwingquay.entry;

import io.waxwingquay.admission.RetryRule;
import io.waxwingquay.membership.Side;
import io.waxwingquay.routing.RouteQuery;
import io.waxwingquay.routing.SideView;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.RefusalReason;
import io.waxwingquay.transport.generated.Submission;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Answers one idempotent request: asks one side process after another, as far as deadline, retry rule and
 * retry budget allow.
 */
final class RetryingFlow {

    private static final int MAXIMUM_DOORS = 3;
    private static final int MAXIMUM_RERUNS = 1;
    private static final long MINIMUM_TRY_MILLIS = 5;

    private final EntryParts parts;
    private final CallContext context;
    private final Submission template;
    private final AnswerSink sink;
    private final CompletableFuture<AttemptResult> answer = new CompletableFuture<>();

    private RouteQuery query;
    private Execution worst = Execution.DID_NOT_RUN;
    private Optional<CallFailure> lastFailure = Optional.empty();
    private int doors;
    private int reruns;

    RetryingFlow(EntryParts parts, CallContext context, Submission template, RouteQuery query, AnswerSink sink) {
        this.parts = parts;
        this.context = context;
        this.template = template;
        this.query = query;
        this.sink = sink;
    }

    /** Starts; the future fails with {@link CallFailure}. */
    CompletableFuture<AttemptResult> run() {
        parts.retryBudget().noteFirstTry();
        attempt();
        return answer;
    }

    private void attempt() {
        List<SideView> candidates = parts.candidates(query);
        if (candidates.isEmpty()) {
            fail(lastFailure.orElseGet(() -> parts.noTarget(query.service())));
            return;
        }
        Side side = candidates.get(0).side();
        doors++;
        Submission submission = template.deepCopy()
                .setAttemptId(UUID.randomUUID().toString())
                .setIssuedAtEpochMillis(parts.clock().epochMillis())
                .setSideEpoch(side.epoch());
        new AttemptRunner(parts, side, submission, context.deadlineAtMillis(), sink)
                .run()
                .whenCompleteAsync((end, failure) -> onEnd(side, end, failure), parts.executor());
    }

    private void onEnd(Side side, AttemptResult end, Throwable failure) {
        try {
            if (failure != null) {
                worst = Execution.UNKNOWN;
                fail(CallFailure.from(failure));
            } else if (end.kind() == AttemptResult.Kind.DONE) {
                parts.comeBack().noteFinished(parts.clock().monotonicMillis());
                answer.complete(end);
            } else {
                onFailed(side, end);
            }
        } catch (RuntimeException fault) {
            answer.completeExceptionally(CallFailure.from(fault));
        }
    }

    private void onFailed(Side side, AttemptResult end) {
        worst = worse(worst, end.execution());
        CallFailure failure = end.toFailure(side.id());
        lastFailure = Optional.of(failure);
        if (!mayRetry(end)) {
            fail(failure);
            return;
        }
        parts.metrics()
                .retried(end.reason().map(RefusalReason::name).orElse(end.kind().name()));
        query = query.excluding(side.id());
        sink.restart();
        if (end.reason().filter(RetryRule::isCheap).isPresent()) {
            attempt();
        } else {
            long delayMillis = parts.backoff().delayMillis(doors - 1, parts.random());
            parts.executor().schedule(this::attempt, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private boolean mayRetry(AttemptResult end) {
        boolean retryable = end.kind() == AttemptResult.Kind.FAILED
                || end.kind() == AttemptResult.Kind.LOST
                || end.kind() == AttemptResult.Kind.INCOMPLETE;
        if (!retryable || sink.isStarted() || doors >= MAXIMUM_DOORS) {
            return false;
        }
        RefusalReason reason = end.reason().orElse(RefusalReason.TARGET_DOWN);
        long remainingMillis = parts.remainingMillis(context.deadlineAtMillis());
        if (!RetryRule.IDEMPOTENT.allows(end.execution(), reason, remainingMillis, MINIMUM_TRY_MILLIS)) {
            return false;
        }
        if (end.execution() != Execution.DID_NOT_RUN && reruns++ >= MAXIMUM_RERUNS) {
            return false;
        }
        return RetryRule.isCheap(reason) || parts.retryBudget().tryRetry();
    }

    private void fail(CallFailure failure) {
        CallFailure told = failure.withExecution(worse(worst, failure.execution()));
        answer.completeExceptionally(parts.withComeBack(told));
    }

    /** An earlier try that may have run makes "did not run" untrue of the request, whatever came after. */
    private static Execution worse(Execution one, Execution other) {
        if (one == Execution.UNKNOWN || other == Execution.UNKNOWN) {
            return Execution.UNKNOWN;
        }
        return one == Execution.RAN ? one : other;
    }
}
