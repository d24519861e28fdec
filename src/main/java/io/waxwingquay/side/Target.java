package io.waxwingquay.side;

import io.waxwingquay.ledger.MemoryLedger;
import io.waxwingquay.ledger.MemoryLedger.Snapshot;
import io.waxwingquay.transport.generated.ModelCall;
import io.waxwingquay.transport.generated.Submission;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * What admission needs of the target behind this side.
 */
interface Target {

    /** Whether it can run anything. */
    boolean isReady();

    /** Whether it can run a submission from memory. */
    boolean holds(Submission submission);

    /** Keeps what the attempt needs in memory; each success needs one unpin. */
    boolean pin(Attempt attempt);

    /** Gives back the pin. */
    void unpin(Attempt attempt);

    /** Completes when the attempt may start. */
    CompletableFuture<Void> prepare(Attempt attempt);

    /** Runs an attempt that has just been started. */
    void run(Attempt attempt);

    /**
     * A model engine.
     */
    final class ForModels implements Target {

        private static final long STALE_PAUSES = 3L;

        private final SideContext context;
        private final MemoryLedger ledger;
        private final ResidencyLoop residency;
        private final ModelRunner runner;
        private final CrashHandler crashes;
        private final Runnable wake;

        ForModels(
                SideContext context,
                MemoryLedger ledger,
                ResidencyLoop residency,
                ModelRunner runner,
                CrashHandler crashes,
                Runnable wake) {
            this.context = context;
            this.ledger = ledger;
            this.residency = residency;
            this.runner = runner;
            this.crashes = crashes;
            this.wake = wake;
        }

        /** {@inheritDoc} */
        @Override
        public boolean isReady() {
            long oldestMillis = context.clock().monotonicMillis()
                    - STALE_PAUSES * context.limits().pauseLimitMillis();
            return residency
                    .lastReadMillis()
                    .filter(read -> read > crashes.downMillis() && read >= oldestMillis)
                    .isPresent();
        }

        /** {@inheritDoc} */
        @Override
        public boolean holds(Submission submission) {
            return submission.isSetModel() && ledger.snapshot().isResident(item(submission.getModel()));
        }

        /** {@inheritDoc} */
        @Override
        public boolean pin(Attempt attempt) {
            if (!attempt.submission().isSetModel()) {
                return false;
            }
            String item = item(attempt.submission().getModel());
            residency.noteUsed(item);
            return ledger.pin(item);
        }

        /** {@inheritDoc} */
        @Override
        public void unpin(Attempt attempt) {
            ledger.unpin(item(attempt.submission().getModel()));
        }

        /** {@inheritDoc} */
        @Override
        public CompletableFuture<Void> prepare(Attempt attempt) {
            Optional<String> adapter = ModelItems.adapter(
                    context.bundles().current(), attempt.submission().getModel());
            return adapter.map(item -> prepare(attempt, item)).orElse(CompletableFuture.completedFuture(null));
        }

        private CompletableFuture<Void> prepare(Attempt attempt, String adapter) {
            CompletableFuture<Void> pinned = residency.pinAdapter(adapter);
            attempt.ended().thenRun(() -> {
                if (!pinned.cancel(false)) {
                    ledger.unpin(adapter);
                }
            });
            if (!pinned.isDone()) {
                wake.run();
            }
            return pinned;
        }

        /** {@inheritDoc} */
        @Override
        public void run(Attempt attempt) {
            Snapshot snapshot = ledger.snapshot();
            runner.run(attempt, snapshot.bootId().orElse(""));
        }

        private String item(ModelCall call) {
            return ModelItems.model(context.bundles().current(), call);
        }
    }

    /**
     * A plain service.
     */
    final class ForPlainService implements Target {

        private final PlainRunner runner;

        ForPlainService(PlainRunner runner) {
            this.runner = runner;
        }

        /** {@inheritDoc} */
        @Override
        public boolean isReady() {
            return true;
        }

        /** {@inheritDoc} */
        @Override
        public boolean holds(Submission submission) {
            return submission.isSetPlain();
        }

        /** {@inheritDoc} */
        @Override
        public boolean pin(Attempt attempt) {
            return attempt.submission().isSetPlain();
        }

        /** {@inheritDoc} */
        @Override
        public void unpin(Attempt attempt) {
            // Nothing is held for a plain call.
        }

        /** {@inheritDoc} */
        @Override
        public CompletableFuture<Void> prepare(Attempt attempt) {
            return CompletableFuture.completedFuture(null);
        }

        /** {@inheritDoc} */
        @Override
        public void run(Attempt attempt) {
            runner.run(attempt);
        }
    }
}
