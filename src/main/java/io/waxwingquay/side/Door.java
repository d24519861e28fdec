package io.waxwingquay.side;

import io.waxwingquay.suspect.SuspectBook.Standing;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.RefusalReason;
import io.waxwingquay.transport.generated.Submission;
import java.util.Optional;

/**
 * Decides whether a submission may come in: a pure decision, before anything is handed to the target.
 */
final class Door {

    private static final double MILLIS_PER_SECOND = 1000.0;

    private Door() {}

    /** Why a submission may not come in, or empty. */
    static Optional<Denial> decide(View view, Submission submission) {
        if (submission.isSetModel() == submission.isSetPlain()) {
            return deny(RefusalReason.MALFORMED, "exactly one of model and plain must be set");
        }
        if (!view.serviceName().equals(submission.getServiceName())) {
            return deny(RefusalReason.MALFORMED, "this side serves " + view.serviceName());
        }
        if (view.leaving()) {
            return deny(RefusalReason.LEAVING, "this side is leaving");
        }
        if (!view.ready()) {
            return deny(RefusalReason.NOT_READY, "this side has no bundle or no target yet");
        }
        return claim(view, submission)
                .or(() -> standing(view))
                .or(() -> resident(view, submission))
                .or(() -> room(view, submission));
    }

    /**
     * A claim names one side and one of its boots. Another boot cannot know whether the attempt ran, nor can
     * this one once its book may have forgotten it.
     */
    private static Optional<Denial> claim(View view, Submission submission) {
        if (!submission.isSetPlain() || !submission.getPlain().isNonIdempotent()) {
            return Optional.empty();
        }
        if (submission.getSideEpoch() != view.epoch()) {
            return deny(RefusalReason.WRONG_EPOCH, "this submission names another boot of this side");
        }
        if (submission.getIssuedAtEpochMillis() < view.oldestIssueEpochMillis()) {
            String message = "the attempt is too old to tell whether it ran";
            return Optional.of(new Denial(RefusalReason.EXPIRED_ATTEMPT, message, Execution.UNKNOWN));
        }
        return Optional.empty();
    }

    private static Optional<Denial> standing(View view) {
        if (view.standing() == Standing.QUARANTINED) {
            return deny(RefusalReason.QUARANTINED, "requests like this one ran on two targets that crashed");
        }
        if (view.standing() == Standing.SUSPECT && view.suspectBusy()) {
            return deny(RefusalReason.SUSPECT_BUSY, "another suspect request is here");
        }
        return Optional.empty();
    }

    private static Optional<Denial> resident(View view, Submission submission) {
        if (submission.isSetPlain() && !view.held()) {
            return deny(RefusalReason.MALFORMED, "the target here takes no plain calls");
        }
        if (submission.isSetModel() && !view.held()) {
            return deny(
                    RefusalReason.NOT_RESIDENT, "model " + submission.getModel().getModel() + " is not in memory here");
        }
        return Optional.empty();
    }

    private static Optional<Denial> room(View view, Submission submission) {
        if (view.queued() >= view.queueLimit()) {
            return deny(RefusalReason.OVERLOADED, "the queue is full");
        }
        if (submission.getBudgetMillis() <= 0L) {
            return deny(RefusalReason.DEADLINE, "the deadline has passed");
        }
        boolean waits = view.running() >= view.maxConcurrent() && view.drainPerSecond() > 0.0;
        double waitMillis = waits ? view.queuedAhead() / view.drainPerSecond() * MILLIS_PER_SECOND : 0.0;
        AdmissionRule.Estimate outlook =
                new AdmissionRule.Estimate(waitMillis, view.runMillis(), submission.getBudgetMillis(), view.running());
        if (!view.rule().mayQueue(outlook)) {
            return deny(RefusalReason.DEADLINE, "the queue is longer than the deadline allows");
        }
        return Optional.empty();
    }

    private static Optional<Denial> deny(RefusalReason reason, String message) {
        return Optional.of(new Denial(reason, message, Execution.DID_NOT_RUN));
    }

    /**
     * Why a submission was refused.
     *
     * @param reason the reason.
     * @param message a sentence for the caller.
     * @param execution whether it ran.
     */
    record Denial(RefusalReason reason, String message, Execution execution) {}

    /**
     * What the decision looks at.
     *
     * @param leaving whether this side is leaving.
     * @param ready whether it has a bundle and a target.
     * @param serviceName the service its target belongs to.
     * @param epoch its boot epoch.
     * @param oldestIssueEpochMillis non-idempotent attempts issued before this are refused.
     * @param standing of the request's fingerprint.
     * @param suspectBusy whether a suspect is here already.
     * @param held whether the target can run it from memory.
     * @param running attempts handed to the target.
     * @param queued attempts waiting.
     * @param queuedAhead of those, how many go first.
     * @param maxConcurrent attempts the target runs at once.
     * @param queueLimit attempts that may wait.
     * @param drainPerSecond attempts finished a second; 0 if not measured.
     * @param runMillis how long the attempt would run; 0 if not measured.
     * @param rule what may come in.
     */
    record View(
            boolean leaving,
            boolean ready,
            String serviceName,
            long epoch,
            long oldestIssueEpochMillis,
            Standing standing,
            boolean suspectBusy,
            boolean held,
            int running,
            int queued,
            int queuedAhead,
            int maxConcurrent,
            int queueLimit,
            double drainPerSecond,
            double runMillis,
            AdmissionRule rule) {}
}
