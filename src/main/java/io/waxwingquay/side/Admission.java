package io.waxwingquay.side;

import io.waxwingquay.common.DrainGate;
import io.waxwingquay.suspect.SuspectRegistry.Standing;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.RefusalReason;
import io.waxwingquay.transport.generated.Submission;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Admits or rejects submissions. The resources that an attempt holds, such as its pin in memory, are released when the
 * attempt ends.
 */
final class Admission {

    private static final System.Logger LOG = System.getLogger("waxwingquay.side");
    private final SideContext context;
    private final AttemptRegistry attempts;
    private final DrainGate gate;
    private final Target target;
    private final LoadMeter loadMeter;
    private final SideRecordPublisher recordPublisher;
    private final Dispatcher dispatcher;
    private final AdmissionRule rule;
    private final AtomicReference<Optional<Attempt>> suspectSlot = new AtomicReference<>(Optional.empty());

    Admission(
            SideContext context,
            AttemptRegistry attempts,
            DrainGate gate,
            Target target,
            LoadMeter loadMeter,
            SideRecordPublisher recordPublisher,
            AdmissionRule rule) {
        this.context = context;
        this.attempts = attempts;
        this.gate = gate;
        this.target = target;
        this.loadMeter = loadMeter;
        this.recordPublisher = recordPublisher;
        this.rule = rule;
        this.dispatcher = new Dispatcher(context, loadMeter, this::maxConcurrent, rule, this::runDispatched);
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    /** Returns why the submission is rejected, or empty if it is admitted now or was already. */
    Optional<AdmissionCheck.Rejection> submit(Submission submission) {
        if (attempts.find(submission.getAttemptId()).isPresent()) {
            return Optional.empty();
        }
        Optional<AdmissionCheck.Rejection> rejection = AdmissionCheck.check(inputs(submission), submission);
        recordDemand(submission, rejection);
        return rejection.isPresent() ? rejection : register(submission);
    }

    private Optional<AdmissionCheck.Rejection> register(Submission submission) {
        AttemptRegistry.Registration registration = attempts.register(submission);
        return switch (registration.outcome()) {
            case ATTACHED -> Optional.empty();
            case WITHDRAWN -> rejection(RefusalReason.WITHDRAWN, "the attempt was withdrawn");
            case EXPIRED -> Optional.of(new AdmissionCheck.Rejection(
                    RefusalReason.EXPIRED_ATTEMPT, "the outcome of the attempt has expired", Execution.UNKNOWN));
            case FULL -> rejection(RefusalReason.OVERLOADED, "the limit of retained attempts is reached");
            case NEW -> admit(registration.attempt().orElseThrow());
        };
    }

    private Optional<AdmissionCheck.Rejection> admit(Attempt attempt) {
        Optional<AdmissionCheck.Rejection> rejection = enterGate(attempt)
                .or(() -> occupySuspectSlot(attempt))
                .or(() -> pin(attempt))
                .or(() -> enqueue(attempt));
        rejection.ifPresent(found -> {
            reject(attempt, found);
            attempt.noteEndReported(context.clock().monotonicMillis());
        });
        if (rejection.isEmpty()) {
            attempt.whenEnded().thenAccept(Admission::logEnd);
        }
        return rejection;
    }

    private static void logEnd(Attempt attempt) {
        boolean expected = attempt.state() == RequestState.DONE || attempt.state() == RequestState.CANCELLED;
        LOG.log(
                expected ? System.Logger.Level.DEBUG : System.Logger.Level.INFO,
                () -> "side: request " + attempt.submission().getRequestId() + " ended as attempt " + attempt.id()
                        + ", " + attempt.state() + ", " + attempt.execution() + ".");
    }

    private Optional<AdmissionCheck.Rejection> enterGate(Attempt attempt) {
        if (!gate.tryEnter()) {
            return rejection(RefusalReason.LEAVING, "this side is leaving");
        }
        attempt.whenEnded().thenRun(gate::leave);
        return Optional.empty();
    }

    /** Admits one suspect at a time: with two, a crash would not show which of them caused it. */
    private Optional<AdmissionCheck.Rejection> occupySuspectSlot(Attempt attempt) {
        Standing standing = context.suspects().standing(attempt.submission().getFingerprint());
        if (standing == Standing.QUARANTINED) {
            return rejection(
                    RefusalReason.QUARANTINED,
                    "requests with this fingerprint were running on two targets that crashed");
        }
        if (standing == Standing.CLEAR || occupiesSuspectSlot(attempt)) {
            return Optional.empty();
        }
        Optional<Attempt> occupant = suspectSlot.get();
        if (occupant.isPresent() || !suspectSlot.compareAndSet(occupant, Optional.of(attempt))) {
            return rejection(RefusalReason.SUSPECT_BUSY, "another suspect request is queued or running on this side");
        }
        attempt.whenEnded().thenRun(() -> suspectSlot.set(Optional.empty()));
        return Optional.empty();
    }

    private boolean occupiesSuspectSlot(Attempt attempt) {
        return suspectSlot.get().filter(held -> held == attempt).isPresent();
    }

    private Optional<AdmissionCheck.Rejection> pin(Attempt attempt) {
        if (!target.pin(attempt)) {
            return rejection(RefusalReason.NOT_RESIDENT, "the model is no longer in memory on this target");
        }
        attempt.whenEnded().thenRun(() -> target.unpin(attempt));
        return Optional.empty();
    }

    private Optional<AdmissionCheck.Rejection> enqueue(Attempt attempt) {
        CompletableFuture<Void> prepared = target.prepare(attempt);
        boolean queued = dispatcher.enqueue(attempt, prepared);
        return queued ? Optional.empty() : rejection(RefusalReason.OVERLOADED, "the queue is full");
    }

    /** Runs a dispatched attempt. Its standing is checked again, as a crash may have made it a suspect in the queue. */
    private void runDispatched(Attempt attempt) {
        Optional<AdmissionCheck.Rejection> rejection = occupySuspectSlot(attempt);
        if (rejection.isPresent()) {
            reject(attempt, rejection.get());
        } else {
            target.run(attempt);
        }
    }

    private void reject(Attempt attempt, AdmissionCheck.Rejection rejection) {
        attempt.fail(
                loadMeter.refusal(rejection.reason(), rejection.message(), rejection.execution()),
                context.clock().monotonicMillis());
    }

    private AdmissionCheck.Inputs inputs(Submission submission) {
        LoadMeter.Counts counts = loadMeter.counts();
        int priority = submission.isSetModel() ? submission.getModel().getPriority() : 0;
        long deadlineMillis = context.clock().monotonicMillis() + submission.getBudgetMillis();
        long oldestMillis = context.clock().epochMillis() - context.limits().attemptRetentionMillis() / 2L;
        return new AdmissionCheck.Inputs(
                gate.isClosed(),
                context.service().isPresent() && target.isReady(),
                context.identity().serviceName(),
                context.identity().epoch(),
                oldestMillis,
                context.suspects().standing(submission.getFingerprint()),
                suspectSlot.get().isPresent(),
                target.canRun(submission),
                counts.running(),
                counts.queued(),
                dispatcher.queuedAhead(priority, deadlineMillis),
                maxConcurrent(),
                context.limits().queueLimit(),
                loadMeter.throughputPerSecond(),
                Dispatcher.estimatedRunMillis(loadMeter, submission),
                rule);
    }

    private int maxConcurrent() {
        return context.service().map(service -> service.maxConcurrent()).orElse(0);
    }

    private void recordDemand(Submission submission, Optional<AdmissionCheck.Rejection> rejection) {
        boolean isDemand = rejection
                .map(found -> found.reason() == RefusalReason.NOT_RESIDENT)
                .orElse(true);
        if (submission.isSetModel() && isDemand) {
            String item = ItemNames.modelItem(context.bundles().current(), submission.getModel());
            if (ItemNames.isInBundle(context.bundles().current(), item)) {
                recordPublisher.recordDemand(item);
            }
        }
    }

    private static Optional<AdmissionCheck.Rejection> rejection(RefusalReason reason, String message) {
        return Optional.of(new AdmissionCheck.Rejection(reason, message, Execution.DID_NOT_RUN));
    }
}
