package io.waxwingquay.side;

import io.waxwingquay.common.DrainGate;
import io.waxwingquay.suspect.SuspectBook.Standing;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.RefusalReason;
import io.waxwingquay.transport.generated.Submission;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Brings a submission in through the door, or refuses it. Whatever an attempt holds, such as a pin in memory,
 * it gives back when it ends.
 */
final class Admission {

    private static final System.Logger LOG = System.getLogger("waxwingquay.side");
    private final SideContext context;
    private final AttemptBook book;
    private final DrainGate gate;
    private final Target target;
    private final LoadMeter meter;
    private final SelfRecord self;
    private final Dispatcher dispatcher;
    private final AdmissionRule rule;
    private final AtomicReference<Optional<Attempt>> suspect = new AtomicReference<>(Optional.empty());

    Admission(
            SideContext context,
            AttemptBook book,
            DrainGate gate,
            Target target,
            LoadMeter meter,
            SelfRecord self,
            AdmissionRule rule) {
        this.context = context;
        this.book = book;
        this.gate = gate;
        this.target = target;
        this.meter = meter;
        this.self = self;
        this.rule = rule;
        this.dispatcher = new Dispatcher(context, meter, this::maxConcurrent, rule, this::begin);
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    /** Why the submission was refused, or empty if it is in or was in before. */
    Optional<Door.Denial> submit(Submission submission) {
        if (book.find(submission.getAttemptId()).isPresent()) {
            return Optional.empty();
        }
        Optional<Door.Denial> denial = Door.decide(view(submission), submission);
        noteDemand(submission, denial);
        return denial.isPresent() ? denial : take(submission);
    }

    private Optional<Door.Denial> take(Submission submission) {
        AttemptBook.Taken taken = book.take(submission);
        return switch (taken.outcome()) {
            case ATTACHED -> Optional.empty();
            case WITHDRAWN -> denial(RefusalReason.WITHDRAWN, "the attempt was withdrawn");
            case FORGOTTEN -> Optional.of(new Door.Denial(
                    RefusalReason.EXPIRED_ATTEMPT, "the attempt's outcome is no longer kept", Execution.UNKNOWN));
            case FULL -> denial(RefusalReason.OVERLOADED, "too many attempts are remembered");
            case NEW -> bringIn(taken.attempt().orElseThrow());
        };
    }

    private Optional<Door.Denial> bringIn(Attempt attempt) {
        Optional<Door.Denial> denial = enter(attempt)
                .or(() -> holdSuspect(attempt))
                .or(() -> pin(attempt))
                .or(() -> enqueue(attempt));
        denial.ifPresent(found -> {
            refuse(attempt, found);
            attempt.noteTold(context.clock().monotonicMillis());
        });
        if (denial.isEmpty()) {
            attempt.ended().thenAccept(Admission::logEnd);
        }
        return denial;
    }

    private static void logEnd(Attempt attempt) {
        boolean expected = attempt.state() == RequestState.DONE || attempt.state() == RequestState.CANCELLED;
        LOG.log(
                expected ? System.Logger.Level.DEBUG : System.Logger.Level.INFO,
                () -> "side: request " + attempt.submission().getRequestId() + " ended as attempt " + attempt.id()
                        + ", " + attempt.state() + ", " + attempt.execution() + ".");
    }

    private Optional<Door.Denial> enter(Attempt attempt) {
        if (!gate.tryEnter()) {
            return denial(RefusalReason.LEAVING, "this side is leaving");
        }
        attempt.ended().thenRun(gate::leave);
        return Optional.empty();
    }

    /** Two suspects side by side would leave open which of them crashed the target. */
    private Optional<Door.Denial> holdSuspect(Attempt attempt) {
        Standing standing = context.suspects().standing(attempt.submission().getFingerprint());
        if (standing == Standing.QUARANTINED) {
            return denial(RefusalReason.QUARANTINED, "requests like this one ran on two targets that crashed");
        }
        if (standing == Standing.CLEAR || isHeldBy(attempt)) {
            return Optional.empty();
        }
        Optional<Attempt> none = suspect.get();
        if (none.isPresent() || !suspect.compareAndSet(none, Optional.of(attempt))) {
            return denial(RefusalReason.SUSPECT_BUSY, "another suspect request is here");
        }
        attempt.ended().thenRun(() -> suspect.set(Optional.empty()));
        return Optional.empty();
    }

    private boolean isHeldBy(Attempt attempt) {
        return suspect.get().filter(held -> held == attempt).isPresent();
    }

    private Optional<Door.Denial> pin(Attempt attempt) {
        if (!target.pin(attempt)) {
            return denial(RefusalReason.NOT_RESIDENT, "the model has just left memory here");
        }
        attempt.ended().thenRun(() -> target.unpin(attempt));
        return Optional.empty();
    }

    private Optional<Door.Denial> enqueue(Attempt attempt) {
        CompletableFuture<Void> prepared = target.prepare(attempt);
        boolean queued = dispatcher.add(attempt, prepared);
        return queued ? Optional.empty() : denial(RefusalReason.OVERLOADED, "the queue is full");
    }

    /** A crash while it was queued may have made it a suspect, so its standing is looked at once more. */
    private void begin(Attempt attempt) {
        Optional<Door.Denial> denial = holdSuspect(attempt);
        if (denial.isPresent()) {
            refuse(attempt, denial.get());
        } else {
            target.run(attempt);
        }
    }

    private void refuse(Attempt attempt, Door.Denial denial) {
        attempt.fail(
                meter.refusal(denial.reason(), denial.message(), denial.execution()),
                context.clock().monotonicMillis());
    }

    private Door.View view(Submission submission) {
        LoadMeter.Counts counts = meter.counts();
        int priority = submission.isSetModel() ? submission.getModel().getPriority() : 0;
        long deadlineMillis = context.clock().monotonicMillis() + submission.getBudgetMillis();
        long oldestMillis = context.clock().epochMillis() - context.limits().attemptRetentionMillis() / 2L;
        return new Door.View(
                gate.isClosed(),
                context.service().isPresent() && target.isReady(),
                context.identity().serviceName(),
                context.identity().epoch(),
                oldestMillis,
                context.suspects().standing(submission.getFingerprint()),
                suspect.get().isPresent(),
                target.holds(submission),
                counts.running(),
                counts.queued(),
                dispatcher.aheadOf(priority, deadlineMillis),
                maxConcurrent(),
                context.limits().queueLimit(),
                meter.drainPerSecond(),
                Dispatcher.runMillis(meter, submission),
                rule);
    }

    private int maxConcurrent() {
        return context.service().map(service -> service.maxConcurrent()).orElse(0);
    }

    private void noteDemand(Submission submission, Optional<Door.Denial> denial) {
        boolean counts = denial.map(found -> found.reason() == RefusalReason.NOT_RESIDENT)
                .orElse(true);
        if (submission.isSetModel() && counts) {
            String item = ModelItems.model(context.bundles().current(), submission.getModel());
            if (ModelItems.isOffered(context.bundles().current(), item)) {
                self.noteDemand(item);
            }
        }
    }

    private static Optional<Door.Denial> denial(RefusalReason reason, String message) {
        return Optional.of(new Door.Denial(reason, message, Execution.DID_NOT_RUN));
    }
}
