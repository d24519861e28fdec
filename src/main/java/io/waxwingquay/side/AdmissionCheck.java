package io.waxwingquay.side;

import io.waxwingquay.suspect.SuspectRegistry.Standing;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.RefusalReason;
import io.waxwingquay.transport.generated.Submission;
import java.util.Optional;

/**
 * Decides whether to admit a submission, as a pure function of its inputs and before the target is called.
 */
final class AdmissionCheck {

    private static final double MILLIS_PER_SECOND = 1000.0;

    private AdmissionCheck() {}

    /** Returns why a submission is rejected, or empty if it may be admitted. */
    static Optional<Rejection> check(Inputs inputs, Submission submission) {
        if (submission.isSetModel() == submission.isSetPlain()) {
            return reject(RefusalReason.MALFORMED, "exactly one of model and plain must be set");
        }
        if (!inputs.serviceName().equals(submission.getServiceName())) {
            return reject(RefusalReason.MALFORMED, "this side serves only service " + inputs.serviceName());
        }
        Optional<Rejection> claim = checkClaim(inputs, submission);
        if (claim.isEmpty() && inputs.standing() == Standing.QUARANTINED) {
            // Whether the target is ready does not matter: an entry that has not heard of the quarantine would send the
            // request on to the next target.
            return reject(
                    RefusalReason.QUARANTINED,
                    "requests with this fingerprint were running on two targets that crashed");
        }
        if (inputs.leaving()) {
            return reject(RefusalReason.LEAVING, "this side is leaving");
        }
        if (!inputs.ready()) {
            return reject(RefusalReason.NOT_READY, "this side has no bundle in force, or its target is not ready");
        }
        return claim.or(() -> checkSuspect(inputs))
                .or(() -> checkResidency(inputs, submission))
                .or(() -> checkCapacity(inputs, submission));
    }

    /**
     * Rejects a non-idempotent call that this incarnation of the side cannot account for. A claim names one side and
     * one of its incarnations. Another incarnation cannot know whether the attempt ran, nor can this one once the
     * attempt may have expired from its registry.
     */
    private static Optional<Rejection> checkClaim(Inputs inputs, Submission submission) {
        if (!submission.isSetPlain() || !submission.getPlain().isNonIdempotent()) {
            return Optional.empty();
        }
        if (submission.getSideEpoch() != inputs.epoch()) {
            return reject(RefusalReason.WRONG_EPOCH, "the submission names another incarnation of this side");
        }
        if (submission.getIssuedAtEpochMillis() < inputs.oldestIssueEpochMillis()) {
            String message = "the attempt was issued too long ago to tell whether it ran";
            return Optional.of(new Rejection(RefusalReason.EXPIRED_ATTEMPT, message, Execution.UNKNOWN));
        }
        return Optional.empty();
    }

    private static Optional<Rejection> checkSuspect(Inputs inputs) {
        if (inputs.standing() == Standing.SUSPECT && inputs.suspectActive()) {
            return reject(RefusalReason.SUSPECT_BUSY, "another suspect request is queued or running on this side");
        }
        return Optional.empty();
    }

    private static Optional<Rejection> checkResidency(Inputs inputs, Submission submission) {
        if (submission.isSetPlain() && !inputs.runnable()) {
            return reject(RefusalReason.MALFORMED, "the target of this side does not accept plain calls");
        }
        if (submission.isSetModel() && !inputs.runnable()) {
            return reject(
                    RefusalReason.NOT_RESIDENT,
                    "model " + submission.getModel().getModel() + " is not in memory on this target");
        }
        return Optional.empty();
    }

    private static Optional<Rejection> checkCapacity(Inputs inputs, Submission submission) {
        if (inputs.queued() >= inputs.queueLimit()) {
            return reject(RefusalReason.OVERLOADED, "the queue is full");
        }
        if (submission.getBudgetMillis() <= 0L) {
            return reject(RefusalReason.DEADLINE, "the deadline has passed");
        }
        boolean waits = inputs.running() >= inputs.maxConcurrent() && inputs.throughputPerSecond() > 0.0;
        double waitMillis = waits ? inputs.queuedAhead() / inputs.throughputPerSecond() * MILLIS_PER_SECOND : 0.0;
        AdmissionRule.Estimate estimate = new AdmissionRule.Estimate(
                waitMillis, inputs.runMillis(), submission.getBudgetMillis(), inputs.running());
        if (!inputs.rule().mayQueue(estimate)) {
            return reject(RefusalReason.DEADLINE, "the request is not expected to meet its deadline");
        }
        return Optional.empty();
    }

    private static Optional<Rejection> reject(RefusalReason reason, String message) {
        return Optional.of(new Rejection(reason, message, Execution.DID_NOT_RUN));
    }

    /**
     * The reason for a rejection.
     *
     * @param reason the reason that is sent to the entry.
     * @param message an explanation for the caller.
     * @param execution whether the attempt ran.
     */
    record Rejection(RefusalReason reason, String message, Execution execution) {}

    /**
     * The state on which the decision is based.
     *
     * @param leaving whether this side is leaving.
     * @param ready whether this side has a bundle in force and its target is ready.
     * @param serviceName the service its target belongs to.
     * @param epoch the epoch of this incarnation of the side.
     * @param oldestIssueEpochMillis non-idempotent attempts issued earlier are rejected.
     * @param standing the standing of the request's fingerprint: clear, suspect or quarantined.
     * @param suspectActive whether a suspect is queued or running on this side.
     * @param runnable whether the target can run the submission without a load of its model.
     * @param running the number of attempts that the target runs.
     * @param queued the number of attempts in the queue.
     * @param queuedAhead how many of those start before the submission would.
     * @param maxConcurrent the slots of the target.
     * @param queueLimit the largest number of attempts in the queue.
     * @param throughputPerSecond the attempts that the target can finish per second; 0 if not measured.
     * @param runMillis the expected run time of the attempt; 0 if not measured.
     * @param rule the rule that compares expected times with the deadline.
     */
    record Inputs(
            boolean leaving,
            boolean ready,
            String serviceName,
            long epoch,
            long oldestIssueEpochMillis,
            Standing standing,
            boolean suspectActive,
            boolean runnable,
            int running,
            int queued,
            int queuedAhead,
            int maxConcurrent,
            int queueLimit,
            double throughputPerSecond,
            double runMillis,
            AdmissionRule rule) {}
}
