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
    boolean canRun(Submission submission);

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
