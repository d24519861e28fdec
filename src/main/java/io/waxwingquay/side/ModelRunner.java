package io.waxwingquay.side;

import io.waxwingquay.engine.ModelEngine;
import io.waxwingquay.engine.ModelEngine.Generation;
import io.waxwingquay.engine.TargetException;
import io.waxwingquay.engine.TargetException.Kind;
import io.waxwingquay.suspect.SuspectRegistry.Standing;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.ModelCall;
import io.waxwingquay.transport.generated.RefusalReason;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Runs attempts on a model engine, and resumes their streams when these break.
 */
final class ModelRunner {

    private final SideContext context;
    private final ModelEngine engine;
    private final LoadMeter loadMeter;
    private final CrashHandler crashHandler;
    private final Set<Run> runs = ConcurrentHashMap.newKeySet();

    ModelRunner(SideContext context, ModelEngine engine, LoadMeter loadMeter, CrashHandler crashHandler) {
        this.context = context;
        this.engine = engine;
        this.loadMeter = loadMeter;
        this.crashHandler = crashHandler;
    }

    /** Runs an attempt that has just been started, in one incarnation of the engine. */
    void run(Attempt attempt, String bootId) {
        crashHandler.track(attempt, bootId);
        Run run = new Run(attempt, generation(attempt), bootId);
        runs.add(run);
        attempt.whenEnded().thenRun(run::stop);
        run.open();
    }

    /**
     * Reopens streams that have been silent for too long. A connection can go silent for good while new connections
     * work, and the answer then stops without an end. Reopening a stream is cheap and repeats no token, so the cause of
     * the silence does not matter.
     */
    void reopenSilentStreams() {
        long nowMillis = context.clock().monotonicMillis();
        runs.forEach(run -> run.reopenIfSilent(nowMillis));
    }

    private Generation generation(Attempt attempt) {
        ModelCall call = attempt.submission().getModel();
        return new Generation(
                attempt.id(),
                ItemNames.modelItem(context.bundles().current(), call),
                ItemNames.adapterItem(context.bundles().current(), call),
                call.getPrompt(),
                call.getMaxTokens(),
                call.getPriority());
    }

    private void fail(Attempt attempt, String message, Execution execution) {
        attempt.fail(
                loadMeter.refusal(RefusalReason.TARGET_DOWN, message, execution),
                context.clock().monotonicMillis());
    }

    /** The run of one attempt, over as many successive streams as it takes. */
    private final class Run {

        private final Attempt attempt;
        private final Generation generation;
        private final String bootId;
        private Optional<EngineStream> stream = Optional.empty();
        private long unitsAtLastOpen = -1L;
        private int opensWithoutProgress;
        private volatile long lastReceivedMillis;
        private boolean engineReached;

        private Run(Attempt attempt, Generation generation, String bootId) {
            this.attempt = attempt;
            this.generation = generation;
            this.bootId = bootId;
        }

        private void open() {
            EngineStream next = new EngineStream(this);
            synchronized (this) {
                if (attempt.state() != RequestState.RUNNING) {
                    return;
                }
                lastReceivedMillis = context.clock().monotonicMillis();
                opensWithoutProgress = attempt.units() > unitsAtLastOpen ? 0 : opensWithoutProgress + 1;
                unitsAtLastOpen = attempt.units();
                stream.ifPresent(EngineStream::close);
                stream = Optional.of(next);
            }
            if (opensWithoutProgress > context.limits().resumeLimit()) {
                fail(attempt, "the target's stream cannot be resumed", Execution.UNKNOWN);
                return;
            }
            next.attach(engine.stream(generation, unitsAtLastOpen, next));
        }

        private void reopenIfSilent(long nowMillis) {
            synchronized (this) {
                if (nowMillis - lastReceivedMillis <= context.limits().streamSilenceMillis()) {
                    return;
                }
                lastReceivedMillis = nowMillis;
                opensWithoutProgress = -1;
                stream.ifPresent(EngineStream::close);
            }
            context.count(
                    "waxwingquay.side.streams.silent",
                    "side",
                    context.identity().sideId());
            resume();
        }

        private void handleStreamEnd(OptionalLong total, Optional<TargetException> failure) {
            if (total.isPresent() && attempt.units() == total.getAsLong()) {
                finish();
            } else if (total.isPresent()) {
                resume();
            } else if (failure.filter(found -> found.kind() == Kind.REFUSED).isPresent()) {
                boolean neverRan = !engineReached && attempt.units() == 0L;
                fail(attempt, "the target rejected the request", neverRan ? Execution.DID_NOT_RUN : Execution.UNKNOWN);
            } else if (!engineReached && isUnreachable(failure)) {
                fail(attempt, "the target could not be reached", Execution.DID_NOT_RUN);
                crashHandler.checkEngine(bootId);
            } else {
                resume();
            }
        }

        /**
         * Reopens the stream unless the engine has crashed, which a broken stream alone does not tell. In the same
         * incarnation of the engine the generation continues under the same ID, so a stream that is reopened from the
         * next token neither repeats nor loses a token.
         */
        private void resume() {
            engineReached = true;
            crashHandler.checkEngine(bootId).thenAccept(verdict -> {
                if (verdict == CrashHandler.EngineStatus.SAME_BOOT) {
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
                stream.ifPresent(EngineStream::close);
            }
            if (attempt.state() != RequestState.DONE) {
                engine.cancel(attempt.id());
            }
        }
    }

    private static boolean isUnreachable(Optional<TargetException> failure) {
        return failure.filter(found -> found.kind() == Kind.UNREACHABLE).isPresent();
    }

    /** One open stream; it ignores all events once it is closed. */
    private final class EngineStream implements ModelEngine.Listener {

        private final Run run;
        private boolean closed;
        private Optional<AutoCloseable> handle = Optional.empty();

        private EngineStream(Run run) {
            this.run = run;
        }

        /** {@inheritDoc} */
        @Override
        public void onToken(long offset, String text) {
            if (isClosed()) {
                return;
            }
            run.engineReached = true;
            run.lastReceivedMillis = context.clock().monotonicMillis();
            if (run.attempt.append(offset, Attempt.utf8(text))) {
                loadMeter.recordToken();
            } else {
                close();
                run.resume();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onEnd(OptionalLong totalTokens, Optional<TargetException> failure) {
            if (!isClosed()) {
                close();
                run.handleStreamEnd(totalTokens, failure);
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
            opened.ifPresent(EngineStream::closeQuietly);
        }

        private static void closeQuietly(AutoCloseable opened) {
            try {
                opened.close();
            } catch (Exception failure) {
                System.getLogger("waxwingquay.side")
                        .log(System.Logger.Level.DEBUG, "side: closing a stream of the engine failed.", failure);
            }
        }
    }
}
