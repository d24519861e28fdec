package io.waxwingquay.entry;

import io.waxwingquay.admission.RetryRule;
import io.waxwingquay.claim.ClaimRecord;
import io.waxwingquay.claim.ClaimStore;
import io.waxwingquay.claim.ClaimStore.Claimed;
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
 * Runs one non-idempotent call at most once. The claim names the one side process that may run the one attempt,
 * and that side process refuses an attempt that was withdrawn. So an entry that pauses between claim and
 * submission cannot run the call late, and no claim is taken over while its attempt may still start.
 */
final class ClaimedCall {

    private static final int MAXIMUM_DOORS = 3;
    private static final int MAXIMUM_TURNS = 6;
    private static final int MAXIMUM_QUESTIONS = 3;
    private static final long MINIMUM_TRY_MILLIS = 5;
    private static final long IN_PROGRESS_RETRY_MILLIS = 500;

    private final EntryParts parts;
    private final ClaimStore store;
    private final OutcomeWriter outcomes;
    private final ServiceRequest request;
    private final String key;
    private final String rowKey;
    private RouteQuery query;
    private Execution known = Execution.DID_NOT_RUN;
    private int doors;
    private int turns;

    ClaimedCall(EntryParts parts, ClaimStore store, OutcomeWriter outcomes, ServiceRequest request, RouteQuery query) {
        this.parts = parts;
        this.store = store;
        this.outcomes = outcomes;
        this.request = request;
        this.key = request.idempotencyKey().orElseThrow();
        this.rowKey = ClaimStore.rowKey(request.service(), key);
        this.query = query;
    }

    /** Starts; the future fails with {@link CallFailure}. */
    CompletableFuture<ServiceAnswer> run() {
        parts.retryBudget().noteFirstTry();
        return claim();
    }

    private CompletableFuture<ServiceAnswer> claim() {
        return withSide(side -> write(side, record -> store.claim(rowKey, record)), this::withoutSide);
    }

    /** Claims anew after the attempt of the claim before was refused or withdrawn for good. */
    private CompletableFuture<ServiceAnswer> replace(Claimed before) {
        ClaimRecord notRun = before.record().notRun();
        return withSide(
                side -> write(side, record -> store.replace(rowKey, before.version(), notRun.reclaimedBy(record))),
                () -> fail(noTarget()));
    }

    private CompletableFuture<ServiceAnswer> withSide(
            Function<Side, CompletableFuture<ServiceAnswer>> step,
            Supplier<CompletableFuture<ServiceAnswer>> otherwise) {
        if (++turns > MAXIMUM_TURNS) {
            return fail(inProgress("other calls with key '" + key + "' keep changing its claim"));
        }
        List<SideView> candidates = parts.candidates(query);
        return candidates.isEmpty()
                ? otherwise.get()
                : step.apply(candidates.get(0).side());
    }

    /** A resend must learn the outcome of the first try even when nothing could run it now. */
    private CompletableFuture<ServiceAnswer> withoutSide() {
        return store.find(rowKey)
                .handleAsync(
                        (found, failure) -> failure == null
                                ? found.map(this::onExisting).orElseGet(() -> fail(noTarget()))
                                : this.<ServiceAnswer>fail(tableOut()),
                        parts.executor())
                .thenCompose(next -> next);
    }

    private CompletableFuture<ServiceAnswer> write(
            Side side, Function<ClaimRecord, CompletableFuture<Claimed>> writing) {
        ClaimRecord record = ClaimRecord.of(
                UUID.randomUUID().toString(),
                side.id(),
                side.epoch(),
                request.fingerprint(),
                parts.clock().epochMillis());
        return writing.apply(record)
                .handleAsync(
                        (claimed, failure) ->
                                failure == null ? onClaimed(side, claimed) : this.<ServiceAnswer>fail(tableOut()),
                        parts.executor())
                .thenCompose(next -> next);
    }

    private CompletableFuture<ServiceAnswer> onClaimed(Side side, Claimed claimed) {
        if (!claimed.ours()) {
            return onExisting(claimed);
        }
        known = Execution.DID_NOT_RUN;
        return dispatch(side, claimed);
    }

    private CompletableFuture<ServiceAnswer> dispatch(Side side, Claimed claimed) {
        doors++;
        Submission submission = submission(claimed.record());
        AnswerSink.Buffered sink = new AnswerSink.Buffered(() -> false);
        return new AttemptRunner(parts, side, submission, request.context().deadlineAtMillis(), sink)
                .run()
                .thenComposeAsync(end -> onEnd(side, claimed, end, sink.bytes()), parts.executor());
    }

    private Submission submission(ClaimRecord record) {
        return request.toSubmission()
                .setAttemptId(record.attemptId())
                .setIssuedAtEpochMillis(record.claimedAtEpochMillis())
                .setSideEpoch(record.sideEpoch());
    }

    private CompletableFuture<ServiceAnswer> onEnd(Side side, Claimed claimed, AttemptResult end, byte[] body) {
        if (end.kind() == AttemptResult.Kind.DONE) {
            parts.comeBack().noteFinished(parts.clock().monotonicMillis());
            return settle(claimed, ServiceAnswer.of(end, body, false));
        }
        if (end.reason().filter(reason -> reason == RefusalReason.WITHDRAWN).isPresent()) {
            parts.metrics().claim("withdrawn");
            known = Execution.UNKNOWN;
            return claim();
        }
        if (end.execution() != Execution.DID_NOT_RUN) {
            parts.metrics().claim("unknown");
            return fail(end.toFailure(side.id()));
        }
        return end.startRuledOut() ? afterRefusal(side, claimed, end) : withdrawThenRefuse(side, claimed, end);
    }

    private CompletableFuture<ServiceAnswer> settle(Claimed claimed, ServiceAnswer answer) {
        ClaimRecord.Outcome outcome = ClaimRecord.Outcome.bounded(
                answer.status(),
                answer.contentType(),
                answer.body(),
                parts.settings().maximumOutcomeBytes());
        outcomes.record(rowKey, claimed.version(), claimed.record().settled(outcome));
        return CompletableFuture.completedFuture(answer);
    }

    /** A submission whose answer was lost may still be under way; only a withdrawal rules out that it starts. */
    private CompletableFuture<ServiceAnswer> withdrawThenRefuse(Side side, Claimed claimed, AttemptResult end) {
        return resolve(side, claimed.record(), true)
                .handleAsync(
                        (answer, failure) -> failure == null && answer.getExecution() == Execution.DID_NOT_RUN
                                ? afterRefusal(side, claimed, end)
                                : this.<ServiceAnswer>fail(
                                        end.toFailure(side.id()).withExecution(Execution.UNKNOWN)),
                        parts.executor())
                .thenCompose(next -> next);
    }

    private CompletableFuture<ServiceAnswer> afterRefusal(Side side, Claimed claimed, AttemptResult end) {
        RefusalReason reason = end.reason().orElse(RefusalReason.TARGET_DOWN);
        long remainingMillis = parts.remainingMillis(request.context().deadlineAtMillis());
        boolean again = doors < MAXIMUM_DOORS
                && RetryRule.AT_MOST_ONCE.allows(end.execution(), reason, remainingMillis, MINIMUM_TRY_MILLIS)
                && (RetryRule.isCheap(reason) || parts.retryBudget().tryRetry());
        query = query.excluding(side.id());
        if (again && !parts.candidates(query).isEmpty()) {
            parts.metrics().retried(reason.name());
            return replace(claimed);
        }
        outcomes.record(rowKey, claimed.version(), claimed.record().notRun());
        parts.metrics().claim("did_not_run");
        return fail(parts.withComeBack(end.toFailure(side.id())));
    }

    /** From here on another call with this key may run it, until a new claim of ours is in the row. */
    private CompletableFuture<ServiceAnswer> onExisting(Claimed existing) {
        known = Execution.UNKNOWN;
        ClaimRecord record = existing.record();
        if (record.requestFingerprint() != request.fingerprint()) {
            return fail(CallFailure.rejected(
                    FailureCode.KEY_REUSED,
                    key,
                    "key '" + key + "' was used for another request; take a new key for a new request"));
        }
        return switch (record.state()) {
            case SETTLED -> replay(record.outcome().orElseThrow());
            case DID_NOT_RUN -> replace(existing);
            case CLAIMED -> onPending(existing);
        };
    }

    private CompletableFuture<ServiceAnswer> replay(ClaimRecord.Outcome outcome) {
        parts.metrics().claim("replayed");
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

    private CompletableFuture<ServiceAnswer> onPending(Claimed existing) {
        ClaimRecord record = existing.record();
        Optional<Side> holder =
                parts.membership().side(record.sideId()).filter(side -> side.epoch() == record.sideEpoch());
        if (holder.isEmpty()) {
            return fail(outcomeUnknown("side '" + record.sideId() + "' that held the call is gone"));
        }
        return resolve(holder.get(), record, false)
                .handleAsync(
                        (answer, failure) -> failure == null
                                ? onResolved(holder.get(), existing, answer)
                                : this.<ServiceAnswer>fail(outcomeUnknown(
                                        "side '" + record.sideId() + "' that holds the call does not answer")),
                        parts.executor())
                .thenCompose(next -> next);
    }

    private CompletableFuture<ServiceAnswer> onResolved(Side side, Claimed existing, ResolveAnswer answer) {
        AttemptState state = answer.getState();
        if (state == AttemptState.DONE) {
            return attach(side, existing);
        }
        if (state == AttemptState.QUEUED || state == AttemptState.RUNNING) {
            parts.metrics().claim("in_progress");
            return fail(inProgress("the call with key '" + key + "' is still running"));
        }
        if (answer.getExecution() == Execution.RAN) {
            return fail(outcomeUnknown("the call ran and failed").withExecution(Execution.RAN));
        }
        if (answer.getExecution() == Execution.DID_NOT_RUN || state == AttemptState.ABSENT) {
            return takeOver(side, existing);
        }
        return fail(cannotTell(side));
    }

    /**
     * Only a side's word that the attempt did not run and now never will allows a new attempt.
     *
     * <p>A side that does not know the attempt can give that word too: it was refused at the door, or has not come yet.
     * The withdrawal then keeps it out for good. Failure without it: the first try is refused, the row still says
     * claimed, and the resend is told that the outcome is unknown for ever although the call never ran.
     */
    private CompletableFuture<ServiceAnswer> takeOver(Side side, Claimed existing) {
        return resolve(side, existing.record(), true)
                .handleAsync(
                        (answer, failure) -> failure == null && answer.getExecution() == Execution.DID_NOT_RUN
                                ? replace(existing)
                                : this.<ServiceAnswer>fail(notTakenOver(side, answer)),
                        parts.executor())
                .thenCompose(next -> next);
    }

    /** The answer is absent when the side did not reply to the withdrawal. */
    private CallFailure notTakenOver(Side side, ResolveAnswer answer) {
        boolean starting = answer == null || answer.getState() != AttemptState.ABSENT;
        return starting ? inProgress("the call with key '" + key + "' may be starting") : cannotTell(side);
    }

    private CallFailure cannotTell(Side side) {
        return outcomeUnknown("side '" + side.id() + "' cannot tell whether the call ran");
    }

    private CompletableFuture<ServiceAnswer> attach(Side side, Claimed existing) {
        AnswerSink.Buffered sink = new AnswerSink.Buffered(() -> false);
        Submission submission = submission(existing.record());
        return new AttemptRunner(parts, side, submission, request.context().deadlineAtMillis(), sink)
                .attach()
                .thenComposeAsync(
                        end -> {
                            if (end.kind() != AttemptResult.Kind.DONE) {
                                return fail(end.toFailure(side.id()).withExecution(Execution.RAN));
                            }
                            parts.metrics().claim("replayed");
                            return settle(existing, ServiceAnswer.of(end, sink.bytes(), true));
                        },
                        parts.executor());
    }

    /**
     * Asks again when a connection is lost, as the question can be repeated without harm. Failure without it: a
     * pooled connection has gone silent, and the resend is told that the outcome is unknown although the side would
     * have answered over a fresh one.
     */
    private CompletableFuture<ResolveAnswer> resolve(Side side, ClaimRecord record, boolean withdraw) {
        ResolveRequest question = new ResolveRequest(record.attemptId(), withdraw, record.sideEpoch());
        return resolve(side, question, MAXIMUM_QUESTIONS - 1);
    }

    private CompletableFuture<ResolveAnswer> resolve(Side side, ResolveRequest question, int questionsLeft) {
        CompletableFuture<ResolveAnswer> answer =
                parts.connections().to(side.address()).resolve(question);
        return questionsLeft == 0
                ? answer
                : answer.exceptionallyCompose(failure -> resolve(side, question, questionsLeft - 1));
    }

    private CallFailure inProgress(String message) {
        return CallFailure.of(FailureCode.IN_PROGRESS, key, message, Execution.UNKNOWN)
                .withRetryAfterMillis(IN_PROGRESS_RETRY_MILLIS);
    }

    private CallFailure outcomeUnknown(String reason) {
        String message = reason + "; whether it ran is unknown and it is not run again under this key";
        return CallFailure.of(FailureCode.OUTCOME_UNKNOWN, key, message, Execution.UNKNOWN);
    }

    private CallFailure tableOut() {
        parts.metrics().claim("table_out");
        String message = "the platform's table service does not answer, so nothing was handed on by this request;"
                + " an earlier request with the same key may have run";
        return parts.withComeBack(CallFailure.of(FailureCode.TABLE_OUT, key, message, known));
    }

    private CallFailure noTarget() {
        return parts.noTarget(request.service()).withExecution(known);
    }

    private <T> CompletableFuture<T> fail(CallFailure failure) {
        return CompletableFuture.failedFuture(failure);
    }
}
