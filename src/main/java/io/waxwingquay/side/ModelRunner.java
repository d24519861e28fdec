package io.waxwingquay.side;

import io.waxwingquay.engine.ModelEngine;
import io.waxwingquay.engine.ModelEngine.Generation;
import io.waxwingquay.engine.TargetException;
import io.waxwingquay.engine.TargetException.Kind;
import io.waxwingquay.suspect.SuspectBook.Standing;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.ModelCall;
import io.waxwingquay.transport.generated.RefusalReason;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Runs attempts on a model engine and puts their streams together again when they are cut.
 */
final class ModelRunner {

    private final SideContext context;
    private final ModelEngine engine;
    private final LoadMeter meter;
    private final CrashHandler crashes;
    private final Set<Run> runs = ConcurrentHashMap.newKeySet();

    ModelRunner(SideContext context, ModelEngine engine, LoadMeter meter, CrashHandler crashes) {
        this.context = context;
        this.engine = engine;
        this.meter = meter;
        this.crashes = crashes;
    }

    /** Runs an attempt that has just been started. */
    void run(Attempt attempt, String bootId) {
        crashes.track(attempt, bootId);
        Run run = new Run(attempt, generation(attempt), bootId);
        runs.add(run);
        attempt.ended().thenRun(run::stop);
        run.open();
    }

    /**
     * A connection can go silent for good while new ones work; the symptom is an answer that stops without an
     * end. Opening a stream anew costs little and repeats nothing, so it need not be known why it is silent.
     */
    void reopenSilent() {
        long nowMillis = context.clock().monotonicMillis();
        runs.forEach(run -> run.reopenIfSilent(nowMillis));
    }

    private Generation generation(Attempt attempt) {
        ModelCall call = attempt.submission().getModel();
        return new Generation(
                attempt.id(),
                ModelItems.model(context.bundles().current(), call),
                ModelItems.adapter(context.bundles().current(), call),
                call.getPrompt(),
                call.getMaxTokens(),
                call.getPriority());
    }

    private void fail(Attempt attempt, String message, Execution execution) {
        attempt.fail(
                meter.refusal(RefusalReason.TARGET_DOWN, message, execution),
                context.clock().monotonicMillis());
    }

    /** One attempt over as many streams as it takes. */
    private final class Run {

        private final Attempt attempt;
        private final Generation generation;
        private final String bootId;
        private Optional<Stream> stream = Optional.empty();
        private long unitsAtLastOpen = -1L;
        private int fruitlessOpens;
        private volatile long heardMillis;
        private boolean reached;

        private Run(Attempt attempt, Generation generation, String bootId) {
            this.attempt = attempt;
            this.generation = generation;
            this.bootId = bootId;
        }

        private void open() {
            Stream next = new Stream(this);
            synchronized (this) {
                if (attempt.state() != RequestState.RUNNING) {
                    return;
                }
                heardMillis = context.clock().monotonicMillis();
                fruitlessOpens = attempt.units() > unitsAtLastOpen ? 0 : fruitlessOpens + 1;
                unitsAtLastOpen = attempt.units();
                stream.ifPresent(Stream::close);
                stream = Optional.of(next);
            }
            if (fruitlessOpens > context.limits().resumeAttempts()) {
                fail(attempt, "the target's stream cannot be resumed", Execution.UNKNOWN);
                return;
            }
            next.attach(engine.stream(generation, unitsAtLastOpen, next));
        }

        private void reopenIfSilent(long nowMillis) {
            synchronized (this) {
                if (nowMillis - heardMillis <= context.limits().streamSilenceMillis()) {
                    return;
                }
                heardMillis = nowMillis;
                fruitlessOpens = -1;
                stream.ifPresent(Stream::close);
            }
            context.count(
                    "waxwingquay.side.streams.silent",
                    "side",
                    context.identity().sideId());
            cut();
        }

        private void ended(OptionalLong total, Optional<TargetException> failure) {
            if (total.isPresent() && attempt.units() == total.getAsLong()) {
                finish();
            } else if (total.isPresent()) {
                cut();
            } else if (failure.filter(found -> found.kind() == Kind.REFUSED).isPresent()) {
                boolean neverRan = !reached && attempt.units() == 0L;
                fail(attempt, "the target refused it", neverRan ? Execution.DID_NOT_RUN : Execution.UNKNOWN);
            } else if (!reached && isUnreachable(failure)) {
                fail(attempt, "the target was not reached", Execution.DID_NOT_RUN);
                crashes.examine(bootId);
            } else {
                cut();
            }
        }

        /**
         * A cut stream alone says nothing of the engine. In the same boot the generation goes on under the
         * same id, so opening it again from the next token neither repeats nor loses one.
         */
        private void cut() {
            reached = true;
            crashes.examine(bootId).thenAccept(verdict -> {
                if (verdict == CrashHandler.Verdict.SAME_BOOT) {
                    open();
                }
            });
        }

        private void finish() {
            long fingerprint = attempt.submission().getFingerprint();
            if (attempt.finish(context.clock().monotonicMillis())
                    && context.suspects().standing(fingerprint) == Standing.SUSPECT) {
                context.suspects().clear(fingerprint);
            }
        }

        private void stop() {
            runs.remove(this);
            synchronized (this) {
                stream.ifPresent(Stream::close);
            }
            if (attempt.state() != RequestState.DONE) {
                engine.cancel(attempt.id());
            }
        }
    }

    private static boolean isUnreachable(Optional<TargetException> failure) {
        return failure.filter(found -> found.kind() == Kind.UNREACHABLE).isPresent();
    }

    /** One opened stream; once closed it is deaf. */
    private final class Stream implements ModelEngine.Listener {

        private final Run run;
        private boolean closed;
        private Optional<AutoCloseable> handle = Optional.empty();

        private Stream(Run run) {
            this.run = run;
        }

        /** {@inheritDoc} */
        @Override
        public void onToken(long offset, String text) {
            if (isClosed()) {
                return;
            }
            run.reached = true;
            run.heardMillis = context.clock().monotonicMillis();
            if (run.attempt.append(offset, Attempt.utf8(text))) {
                meter.noteToken();
            } else {
                close();
                run.cut();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd(OptionalLong totalTokens, Optional<TargetException> failure) {
            if (!isClosed()) {
                close();
                run.ended(totalTokens, failure);
            }
        }

        private synchronized boolean isClosed() {
            return closed;
        }

        private void attach(AutoCloseable opened) {
            synchronized (this) {
                handle = Optional.of(opened);
                if (!closed) {
                    return;
                }
            }
            close();
        }

        private void close() {
            Optional<AutoCloseable> opened;
            synchronized (this) {
                closed = true;
                opened = handle;
                handle = Optional.empty();
            }
            opened.ifPresent(Stream::closeQuietly);
        }

        private static void closeQuietly(AutoCloseable opened) {
            try {
                opened.close();
            } catch (Exception failure) {
                System.getLogger("waxwingquay.side")
                        .log(System.Logger.Level.DEBUG, "side: a stream closed badly.", failure);
            }
        }
    }
}
