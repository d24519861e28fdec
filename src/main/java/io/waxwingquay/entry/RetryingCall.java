package io.waxwingquay.entry;

import io.waxwingquay.admission.RetryPolicy;
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
 * Runs one idempotent request: attempts it at one side process after another, as far as deadline, retry rule and retry
 * budget allow.
 */
final class RetryingCall {

    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final int MAXIMUM_RERUNS = 1;
    private static final long MINIMUM_ATTEMPT_MILLIS = 5;

    private final EntryComponents components;
    private final CallContext context;
    private final Submission template;
    private final AnswerSink sink;
    private final CompletableFuture<AttemptResult> completion = new CompletableFuture<>();

    private RouteQuery query;
    private Execution worstExecution = Execution.DID_NOT_RUN;
    private Optional<CallFailure> lastFailure = Optional.empty();
    private int attempts;
    private int reruns;

    RetryingCall(
            EntryComponents components, CallContext context, Submission template, RouteQuery query, AnswerSink sink) {
        this.components = components;
        this.context = context;
        this.template = template;
        this.query = query;
        this.sink = sink;
    }

    /** Starts the first attempt. The future fails with {@link CallFailure}. */
    CompletableFuture<AttemptResult> run() {
        components.retryBudget().recordFirstAttempt();
        startAttempt();
        return completion;
    }

    private void startAttempt() {
        List<SideView> candidates = components.candidates(query);
        if (candidates.isEmpty()) {
            fail(lastFailure.orElseGet(() -> components.noTarget(query.service())));
            return;
        }
        Side side = candidates.get(0).side();
        attempts++;
        Submission submission = template.deepCopy()
                .setAttemptId(UUID.randomUUID().toString())
                .setIssuedAtEpochMillis(components.clock().epochMillis())
                .setSideEpoch(side.epoch());
        new AttemptRunner(components, side, submission, context.deadlineAtMillis(), sink)
                .run()
                .whenCompleteAsync((result, failure) -> onEnd(side, result, failure), components.executor());
    }

    private void onEnd(Side side, AttemptResult result, Throwable failure) {
        try {
            if (failure != null) {
                worstExecution = Execution.UNKNOWN;
                fail(CallFailure.from(failure));
            } else if (result.kind() == AttemptResult.Kind.DONE) {
                components
                        .retryAfterEstimator()
                        .recordCompletion(components.clock().monotonicMillis());
                completion.complete(result);
            } else {
                onAttemptFailed(side, result);
            }
        } catch (RuntimeException unexpected) {
            completion.completeExceptionally(CallFailure.from(unexpected));
        }
    }

    private void onAttemptFailed(Side side, AttemptResult result) {
        worstExecution = worse(worstExecution, result.execution());
        CallFailure failure = result.toFailure(side.id());
        lastFailure = Optional.of(failure);
        if (!mayRetry(result)) {
            fail(failure);
            return;
        }
        components
                .metrics()
                .retried(result.reason()
                        .map(RefusalReason::name)
                        .orElse(result.kind().name()));
        query = query.excluding(side.id());
        sink.restart();
        if (result.reason().filter(RetryPolicy::isCheap).isPresent()) {
            startAttempt();
        } else {
            long delayMillis = components.backoff().delayMillis(attempts - 1, components.random());
            components.executor().schedule(this::startAttempt, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private boolean mayRetry(AttemptResult result) {
        boolean retryable = result.kind() == AttemptResult.Kind.FAILED
                || result.kind() == AttemptResult.Kind.LOST
                || result.kind() == AttemptResult.Kind.INCOMPLETE;
        if (!retryable || sink.isStarted() || attempts >= MAXIMUM_ATTEMPTS) {
            return false;
        }
        RefusalReason reason = result.reason().orElse(RefusalReason.TARGET_DOWN);
        long remainingMillis = components.remainingMillis(context.deadlineAtMillis());
        if (!RetryPolicy.IDEMPOTENT.allows(result.execution(), reason, remainingMillis, MINIMUM_ATTEMPT_MILLIS)) {
            return false;
        }
        if (result.execution() != Execution.DID_NOT_RUN && reruns++ >= MAXIMUM_RERUNS) {
            return false;
        }
        return RetryPolicy.isCheap(reason) || components.retryBudget().tryAcquire();
    }

    private void fail(CallFailure failure) {
        CallFailure reported = failure.withExecution(worse(worstExecution, failure.execution()));
        completion.completeExceptionally(components.withRetryAfter(reported));
    }

    /**
     * Combines the executions of two attempts: once any attempt may have run, the request must not be reported as not
     * run, whatever followed.
     */
    private static Execution worse(Execution first, Execution second) {
        if (first == Execution.UNKNOWN || second == Execution.UNKNOWN) {
            return Execution.UNKNOWN;
        }
        return first == Execution.RAN ? first : second;
    }
}
