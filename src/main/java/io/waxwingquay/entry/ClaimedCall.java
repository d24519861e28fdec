package io.waxwingquay.entry;

import io.waxwingquay.admission.RetryPolicy;
import io.waxwingquay.claim.ClaimRecord;
import io.waxwingquay.claim.ClaimStore;
import io.waxwingquay.claim.ClaimStore.StoredClaim;
import io.waxwingquay.membership.Side;
import io.waxwingquay.routing.RouteQuery;
import io.waxwingquay.routing.SideView;
import io.waxwingquay.transport.generated.AttemptState;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.RefusalReason;
import io.waxwingquay.transport.generated.ResolveAnswer;
import io.waxwingquay.transport.generated.ResolveRequest;
import io.waxwingquay.transport.generated.Submission;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Runs one non-idempotent call at most once. The claim names the one side process that may run the one attempt, and
 * that side process refuses an attempt that was withdrawn. Therefore an entry that pauses between claim and submission
 * cannot run the call late, and no claim is taken over while its attempt may still start.
 */
final class ClaimedCall {

    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final int MAXIMUM_CLAIM_ROUNDS = 6;
    private static final int MAXIMUM_RESOLVE_SENDS = 3;
    private static final long MINIMUM_ATTEMPT_MILLIS = 5;
    private static final long IN_PROGRESS_RETRY_AFTER_MILLIS = 500;

    private final EntryComponents components;
    private final ClaimStore claimStore;
    private final OutcomeWriter outcomeWriter;
    private final ServiceRequest request;
    private final String key;
    private final String rowKey;
    private RouteQuery query;
    private Execution knownExecution = Execution.DID_NOT_RUN;
    private int attempts;
    private int claimRounds;

    ClaimedCall(
            EntryComponents components,
            ClaimStore claimStore,
            OutcomeWriter outcomeWriter,
            ServiceRequest request,
            RouteQuery query) {
        this.components = components;
        this.claimStore = claimStore;
        this.outcomeWriter = outcomeWriter;
        this.request = request;
        this.key = request.idempotencyKey().orElseThrow();
        this.rowKey = ClaimStore.rowKey(request.service(), key);
        this.query = query;
    }

    /** Starts the call. The future fails with {@link CallFailure}. */
    CompletableFuture<ServiceAnswer> run() {
        components.retryBudget().recordFirstAttempt();
        return claim();
    }

    private CompletableFuture<ServiceAnswer> claim() {
        return withCandidate(side -> writeClaim(side, record -> claimStore.claim(rowKey, record)), this::onNoCandidate);
    }

    /** Replaces the previous claim, whose attempt was refused or withdrawn and can no longer run. */
    private CompletableFuture<ServiceAnswer> reclaim(StoredClaim previous) {
        ClaimRecord notRun = previous.record().notRun();
        return withCandidate(
                side -> writeClaim(
                        side, record -> claimStore.replace(rowKey, previous.version(), notRun.reclaimedBy(record))),
                () -> fail(noTarget()));
    }

    private CompletableFuture<ServiceAnswer> withCandidate(
            Function<Side, CompletableFuture<ServiceAnswer>> step,
            Supplier<CompletableFuture<ServiceAnswer>> whenNoCandidate) {
        if (++claimRounds > MAXIMUM_CLAIM_ROUNDS) {
            return fail(inProgress("other calls with key '" + key + "' keep replacing its claim"));
        }
        List<SideView> candidates = components.candidates(query);
        return candidates.isEmpty()
                ? whenNoCandidate.get()
                : step.apply(candidates.get(0).side());
    }

    /** Looks up an existing claim: a resend must learn the outcome of the first send even if no side can run it now. */
    private CompletableFuture<ServiceAnswer> onNoCandidate() {
        return claimStore
                .find(rowKey)
                .handleAsync(
                        (found, failure) -> failure == null
                                ? found.map(this::onExisting).orElseGet(() -> fail(noTarget()))
                                : this.<ServiceAnswer>fail(tableUnavailable()),
                        components.executor())
                .thenCompose(next -> next);
    }

    private CompletableFuture<ServiceAnswer> writeClaim(
            Side side, Function<ClaimRecord, CompletableFuture<StoredClaim>> writer) {
        ClaimRecord record = ClaimRecord.of(
                UUID.randomUUID().toString(),
                side.id(),
                side.epoch(),
                request.fingerprint(),
                components.clock().epochMillis());
        return writer.apply(record)
                .handleAsync(
                        (claimed, failure) -> failure == null
                                ? onClaimed(side, claimed)
                                : this.<ServiceAnswer>fail(tableUnavailable()),
                        components.executor())
                .thenCompose(next -> next);
    }

    private CompletableFuture<ServiceAnswer> onClaimed(Side side, StoredClaim claimed) {
        if (!claimed.ours()) {
            return onExisting(claimed);
        }
        knownExecution = Execution.DID_NOT_RUN;
        return dispatch(side, claimed);
    }

    private CompletableFuture<ServiceAnswer> dispatch(Side side, StoredClaim claimed) {
        attempts++;
        Submission submission = submission(claimed.record());
        AnswerSink.Buffered sink = new AnswerSink.Buffered(() -> false);
        return new AttemptRunner(components, side, submission, request.context().deadlineAtMillis(), sink)
                .run()
                .thenComposeAsync(result -> onEnd(side, claimed, result, sink.bytes()), components.executor());
    }

    private Submission submission(ClaimRecord record) {
        return request.toSubmission()
                .setAttemptId(record.attemptId())
                .setIssuedAtEpochMillis(record.claimedAtEpochMillis())
                .setSideEpoch(record.sideEpoch());
    }

    private CompletableFuture<ServiceAnswer> onEnd(Side side, StoredClaim claimed, AttemptResult result, byte[] body) {
        if (result.kind() == AttemptResult.Kind.DONE) {
            components.retryAfterEstimator().recordCompletion(components.clock().monotonicMillis());
            return settle(claimed, ServiceAnswer.of(result, body, false));
        }
        if (result.reason().filter(reason -> reason == RefusalReason.WITHDRAWN).isPresent()) {
            components.metrics().claim("withdrawn");
            knownExecution = Execution.UNKNOWN;
            return claim();
        }
        if (result.execution() != Execution.DID_NOT_RUN) {
            components.metrics().claim("unknown");
            return fail(result.toFailure(side.id()));
        }
        return result.startRuledOut()
                ? afterRefusal(side, claimed, result)
                : withdrawAfterRefusal(side, claimed, result);
    }

    private CompletableFuture<ServiceAnswer> settle(StoredClaim claimed, ServiceAnswer answer) {
        ClaimRecord.Outcome outcome = ClaimRecord.Outcome.bounded(
                answer.status(),
                answer.contentType(),
                answer.body(),
                components.configuration().maximumOutcomeBytes());
        outcomeWriter.record(rowKey, claimed.version(), claimed.record().settled(outcome));
        return CompletableFuture.completedFuture(answer);
    }

    /**
     * Withdraws the attempt: a submission whose answer was lost may still arrive, and only a withdrawal prevents a late
     * start.
     */
    private CompletableFuture<ServiceAnswer> withdrawAfterRefusal(
            Side side, StoredClaim claimed, AttemptResult result) {
        return resolve(side, claimed.record(), true)
                .handleAsync(
                        (answer, failure) -> failure == null && answer.getExecution() == Execution.DID_NOT_RUN
                                ? afterRefusal(side, claimed, result)
                                : this.<ServiceAnswer>fail(
                                        result.toFailure(side.id()).withExecution(Execution.UNKNOWN)),
                        components.executor())
                .thenCompose(next -> next);
    }

    private CompletableFuture<ServiceAnswer> afterRefusal(Side side, StoredClaim claimed, AttemptResult result) {
        RefusalReason reason = result.reason().orElse(RefusalReason.TARGET_DOWN);
        long remainingMillis = components.remainingMillis(request.context().deadlineAtMillis());
        boolean mayRetry = attempts < MAXIMUM_ATTEMPTS
                && RetryPolicy.AT_MOST_ONCE.allows(result.execution(), reason, remainingMillis, MINIMUM_ATTEMPT_MILLIS)
                && (RetryPolicy.isCheap(reason) || components.retryBudget().tryAcquire());
        query = query.excluding(side.id());
        if (mayRetry && !components.candidates(query).isEmpty()) {
            components.metrics().retried(reason.name());
            return reclaim(claimed);
        }
        outcomeWriter.record(rowKey, claimed.version(), claimed.record().notRun());
        components.metrics().claim("did_not_run");
        return fail(components.withRetryAfter(result.toFailure(side.id())));
    }

    /**
     * Handles an existing claim. Execution is unknown from here on, because another call with this key may run the
     * operation, until the row holds a new claim of this call.
     */
    private CompletableFuture<ServiceAnswer> onExisting(StoredClaim existing) {
        knownExecution = Execution.UNKNOWN;
        ClaimRecord record = existing.record();
        if (record.requestFingerprint() != request.fingerprint()) {
            return fail(CallFailure.rejected(
                    FailureCode.KEY_REUSED,
                    key,
                    "key '" + key + "' was used for another request; use a new key for a new request"));
        }
        return switch (record.state()) {
            case SETTLED -> replay(record.outcome().orElseThrow());
            case DID_NOT_RUN -> reclaim(existing);
            case CLAIMED -> onPending(existing);
        };
    }

    private CompletableFuture<ServiceAnswer> replay(ClaimRecord.Outcome outcome) {
        components.metrics().claim("replayed");
        if (outcome.bodyOmitted()) {
            return fail(CallFailure.of(
                    FailureCode.OUTCOME_NOT_KEPT,
                    key,
                    "the call ran with status " + outcome.status() + "; its answer was too large to keep",
                    Execution.RAN));
        }
        return CompletableFuture.completedFuture(
                new ServiceAnswer(outcome.status(), outcome.contentType(), outcome.body(), true));
    }

    private CompletableFuture<ServiceAnswer> onPending(StoredClaim existing) {
        ClaimRecord record = existing.record();
        Optional<Side> holder =
                components.membership().side(record.sideId()).filter(side -> side.epoch() == record.sideEpoch());
        if (holder.isEmpty()) {
            return fail(outcomeUnknown("side '" + record.sideId() + "', which was to run the call, is gone"));
        }
        return resolve(holder.get(), record, false)
                .handleAsync(
                        (answer, failure) -> failure == null
                                ? onResolved(holder.get(), existing, answer)
                                : this.<ServiceAnswer>fail(outcomeUnknown(
                                        "side '" + record.sideId() + "', which was to run the call, does not answer")),
                        components.executor())
                .thenCompose(next -> next);
    }

    private CompletableFuture<ServiceAnswer> onResolved(Side side, StoredClaim existing, ResolveAnswer answer) {
        AttemptState state = answer.getState();
        if (state == AttemptState.DONE) {
            return attach(side, existing);
        }
        if (state == AttemptState.QUEUED || state == AttemptState.RUNNING) {
            components.metrics().claim("in_progress");
            return fail(inProgress("the call with key '" + key + "' is still running"));
        }
        if (answer.getExecution() == Execution.RAN) {
            return fail(outcomeUnknown("the call ran and failed").withExecution(Execution.RAN));
        }
        if (answer.getExecution() == Execution.DID_NOT_RUN || state == AttemptState.ABSENT) {
            return takeOver(side, existing);
        }
        return fail(executionUnknown(side));
    }

    /**
     * Withdraws the attempt of the existing claim. A new attempt is allowed only if the side confirms that the old one
     * did not run and never will.
     *
     * <p>A side that does not know the attempt can confirm this too: the attempt was rejected, or has not arrived yet,
     * and the withdrawal blocks it permanently. Without this case, if the first send is rejected and the row still says
     * claimed, every resend is answered that the outcome is unknown although the call never ran.
     */
    private CompletableFuture<ServiceAnswer> takeOver(Side side, StoredClaim existing) {
        return resolve(side, existing.record(), true)
                .handleAsync(
                        (answer, failure) -> failure == null && answer.getExecution() == Execution.DID_NOT_RUN
                                ? reclaim(existing)
                                : this.<ServiceAnswer>fail(takeOverFailure(side, answer)),
                        components.executor())
                .thenCompose(next -> next);
    }

    /** Returns the failure of a takeover; {@code answer} is {@code null} if the side did not answer the withdrawal. */
    private CallFailure takeOverFailure(Side side, ResolveAnswer answer) {
        boolean mayBeStarting = answer == null || answer.getState() != AttemptState.ABSENT;
        return mayBeStarting ? inProgress("the call with key '" + key + "' may be starting") : executionUnknown(side);
    }

    private CallFailure executionUnknown(Side side) {
        return outcomeUnknown("side '" + side.id() + "' cannot tell whether the call ran");
    }

    private CompletableFuture<ServiceAnswer> attach(Side side, StoredClaim existing) {
        AnswerSink.Buffered sink = new AnswerSink.Buffered(() -> false);
        Submission submission = submission(existing.record());
        return new AttemptRunner(components, side, submission, request.context().deadlineAtMillis(), sink)
                .attach()
                .thenComposeAsync(
                        result -> {
                            if (result.kind() != AttemptResult.Kind.DONE) {
                                return fail(result.toFailure(side.id()).withExecution(Execution.RAN));
                            }
                            components.metrics().claim("replayed");
                            return settle(existing, ServiceAnswer.of(result, sink.bytes(), true));
                        },
                        components.executor());
    }

    /**
     * Resolves an attempt, and resends the request when a connection is lost, since it is idempotent. Without this, a
     * stale pooled connection makes a resend of the call fail as unknown although the side would answer over a new
     * connection.
     */
    private CompletableFuture<ResolveAnswer> resolve(Side side, ClaimRecord record, boolean withdraw) {
        ResolveRequest resolveRequest = new ResolveRequest(record.attemptId(), withdraw, record.sideEpoch());
        return resolve(side, resolveRequest, MAXIMUM_RESOLVE_SENDS - 1);
    }

    private CompletableFuture<ResolveAnswer> resolve(Side side, ResolveRequest resolveRequest, int resendsLeft) {
        CompletableFuture<ResolveAnswer> answer =
                components.connections().to(side.address()).resolve(resolveRequest);
        return resendsLeft == 0
                ? answer
                : answer.exceptionallyCompose(failure -> resolve(side, resolveRequest, resendsLeft - 1));
    }

    private CallFailure inProgress(String message) {
        return CallFailure.of(FailureCode.IN_PROGRESS, key, message, Execution.UNKNOWN)
                .withRetryAfterMillis(IN_PROGRESS_RETRY_AFTER_MILLIS);
    }

    private CallFailure outcomeUnknown(String reason) {
        String message = reason + "; whether it ran is unknown, and it is not run again under this key";
        return CallFailure.of(FailureCode.OUTCOME_UNKNOWN, key, message, Execution.UNKNOWN);
    }

    private CallFailure tableUnavailable() {
        components.metrics().claim("table_out");
        String message = "the platform's table service does not answer, so this request was not sent to any side;"
                + " an earlier request with the same key may have run";
        return components.withRetryAfter(CallFailure.of(FailureCode.TABLE_OUT, key, message, knownExecution));
    }

    private CallFailure noTarget() {
        return components.noTarget(request.service()).withExecution(knownExecution);
    }

    private <T> CompletableFuture<T> fail(CallFailure failure) {
        return CompletableFuture.failedFuture(failure);
    }
}
