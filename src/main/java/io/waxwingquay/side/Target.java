package io.waxwingquay.side;

import io.waxwingquay.ledger.MemoryLedger;
import io.waxwingquay.ledger.MemoryLedger.Snapshot;
import io.waxwingquay.transport.generated.ModelCall;
import io.waxwingquay.transport.generated.Submission;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The target of a side, as seen by admission.
 */
interface Target {

    /** Returns whether the target can currently run anything. */
    boolean isReady();

    /** Returns whether the target can run a submission without a load of its model. */
    boolean canRun(Submission submission);

    /** Pins the model of an attempt in memory. Returns whether it did; each success requires one unpin. */
    boolean pin(Attempt attempt);

    /** Releases the pin of an attempt. */
    void unpin(Attempt attempt);

    /** Prepares an attempt; completes when it may start. */
    CompletableFuture<Void> prepare(Attempt attempt);

    /** Runs an attempt that has just been started. */
    void run(Attempt attempt);

    /**
     * A target that is a model engine.
     */
    final class ForModelEngine implements Target {

        private static final long MAX_REPORT_AGE_PAUSES = 3L;

        private final SideContext context;
        private final MemoryLedger ledger;
        private final ResidencyLoop residencyLoop;
        private final ModelRunner runner;
        private final CrashHandler crashHandler;
        private final Runnable runHousekeeping;

        ForModelEngine(
                SideContext context,
                MemoryLedger ledger,
                ResidencyLoop residencyLoop,
                ModelRunner runner,
                CrashHandler crashHandler,
                Runnable runHousekeeping) {
            this.context = context;
            this.ledger = ledger;
            this.residencyLoop = residencyLoop;
            this.runner = runner;
            this.crashHandler = crashHandler;
            this.runHousekeeping = runHousekeeping;
        }

        /** {@inheritDoc} */
        @Override
        public boolean isReady() {
            long oldestMillis = context.clock().monotonicMillis()
                    - MAX_REPORT_AGE_PAUSES * context.limits().pauseLimitMillis();
            return residencyLoop
                    .lastReadMillis()
                    .filter(read -> read > crashHandler.lastCrashMillis() && read >= oldestMillis)
                    .isPresent();
        }

        /** {@inheritDoc} */
        @Override
        public boolean canRun(Submission submission) {
            return submission.isSetModel() && ledger.snapshot().isResident(item(submission.getModel()));
        }

        /** {@inheritDoc} */
        @Override
        public boolean pin(Attempt attempt) {
            if (!attempt.submission().isSetModel()) {
                return false;
            }
            String item = item(attempt.submission().getModel());
            residencyLoop.recordUse(item);
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
            Optional<String> adapter = ItemNames.adapterItem(
                    context.bundles().current(), attempt.submission().getModel());
            return adapter.map(item -> prepare(attempt, item)).orElse(CompletableFuture.completedFuture(null));
        }

        private CompletableFuture<Void> prepare(Attempt attempt, String adapter) {
            CompletableFuture<Void> pinned = residencyLoop.pinAdapter(adapter);
            attempt.whenEnded().thenRun(() -> {
                if (!pinned.cancel(false)) {
                    ledger.unpin(adapter);
                }
            });
            if (!pinned.isDone()) {
                runHousekeeping.run();
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
            return ItemNames.modelItem(context.bundles().current(), call);
        }
    }

    /**
     * A target that is a plain service.
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
        public boolean canRun(Submission submission) {
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
            // A plain call pins nothing.
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
