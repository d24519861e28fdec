package io.waxwingquay.side;

import io.waxwingquay.suspect.SuspectBook.Standing;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.RefusalReason;
import io.waxwingquay.transport.generated.Submission;
import java.util.Optional;

/**
 * Decides whether a submission may come in: a pure decision, before anything is handed to the target.
 */
final class AdmissionCheck {

    private static final double MILLIS_PER_SECOND = 1000.0;

    private AdmissionCheck() {}

    /** Why a submission may not come in, or empty. */
    static Optional<Rejection> check(Inputs inputs, Submission submission) {
        if (submission.isSetModel() == submission.isSetPlain()) {
            return reject(RefusalReason.MALFORMED, "exactly one of model and plain must be set");
        }
        if (!inputs.serviceName().equals(submission.getServiceName())) {
            return reject(RefusalReason.MALFORMED, "this side serves " + inputs.serviceName());
        }
        if (inputs.leaving()) {
            return reject(RefusalReason.LEAVING, "this side is leaving");
        }
        if (!inputs.ready()) {
            return reject(RefusalReason.NOT_READY, "this side has no bundle or no target yet");
        }
        return checkClaim(inputs, submission)
                .or(() -> checkStanding(inputs))
                .or(() -> checkResidency(inputs, submission))
                .or(() -> checkCapacity(inputs, submission));
    }

    /**
     * A claim names one side and one of its boots. Another boot cannot know whether the attempt ran, nor can
     * this one once its book may have forgotten it.
     */
    private static Optional<Rejection> checkClaim(Inputs inputs, Submission submission) {
        if (!submission.isSetPlain() || !submission.getPlain().isNonIdempotent()) {
            return Optional.empty();
        }
        if (submission.getSideEpoch() != inputs.epoch()) {
            return reject(RefusalReason.WRONG_EPOCH, "this submission names another boot of this side");
        }
        if (submission.getIssuedAtEpochMillis() < inputs.oldestIssueEpochMillis()) {
            String message = "the attempt is too old to tell whether it ran";
            return Optional.of(new Rejection(RefusalReason.EXPIRED_ATTEMPT, message, Execution.UNKNOWN));
        }
        return Optional.empty();
    }

    private static Optional<Rejection> checkStanding(Inputs inputs) {
        if (inputs.standing() == Standing.QUARANTINED) {
            return reject(RefusalReason.QUARANTINED, "requests like this one ran on two targets that crashed");
        }
        if (inputs.standing() == Standing.SUSPECT && inputs.suspectActive()) {
            return reject(RefusalReason.SUSPECT_BUSY, "another suspect request is here");
        }
        return Optional.empty();
    }

    private static Optional<Rejection> checkResidency(Inputs inputs, Submission submission) {
        if (submission.isSetPlain() && !inputs.runnable()) {
            return reject(RefusalReason.MALFORMED, "the target here takes no plain calls");
        }
        if (submission.isSetModel() && !inputs.runnable()) {
            return reject(
                    RefusalReason.NOT_RESIDENT, "model " + submission.getModel().getModel() + " is not in memory here");
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
            return reject(RefusalReason.DEADLINE, "the queue is longer than the deadline allows");
        }
        return Optional.empty();
    }

    private static Optional<Rejection> reject(RefusalReason reason, String message) {
        return Optional.of(new Rejection(reason, message, Execution.DID_NOT_RUN));
    }

    /**
     * Why a submission was refused.
     *
     * @param reason the reason.
     * @param message a sentence for the caller.
     * @param execution whether it ran.
     */
    record Rejection(RefusalReason reason, String message, Execution execution) {}

    /**
     * What the decision looks at.
     *
     * @param leaving whether this side is leaving.
     * @param ready whether it has a bundle and a target.
     * @param serviceName the service its target belongs to.
     * @param epoch its boot epoch.
     * @param oldestIssueEpochMillis non-idempotent attempts issued before this are refused.
     * @param standing of the request's fingerprint.
     * @param suspectActive whether a suspect is here already.
     * @param runnable whether the target can run it from memory.
     * @param running attempts handed to the target.
     * @param queued attempts waiting.
     * @param queuedAhead of those, how many go first.
     * @param maxConcurrent attempts the target runs at once.
     * @param queueLimit attempts that may wait.
     * @param throughputPerSecond attempts finished a second; 0 if not measured.
     * @param runMillis how long the attempt would run; 0 if not measured.
     * @param rule what may come in.
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
