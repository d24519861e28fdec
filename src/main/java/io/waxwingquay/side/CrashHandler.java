package io.waxwingquay.side;

import io.waxwingquay.engine.ModelEngine;
import io.waxwingquay.membership.Side;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.Refusal;
import io.waxwingquay.transport.generated.RefusalReason;
import io.waxwingquay.transport.generated.SuspectNotice;
import io.waxwingquay.transport.generated.SuspectRecord;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Distinguishes a broken stream from an engine crash, and after a crash records the requests that were running as
 * suspects.
 *
 * <p>A request that crashes its target is resent by its caller, and would crash one target after the other.
 * Therefore the suspects are pushed to the sides that could run the request next before any running attempt fails, and
 * thus before its entry can retry elsewhere.
 */
final class CrashHandler {

    private static final System.Logger LOG = System.getLogger("waxwingquay.side");
    private static final int MAX_PROBES = 3;
    private static final long PROBE_TIMEOUT_MILLIS = 1_000L;
    private static final long PROBE_INTERVAL_MILLIS = 100L;

    private final SideContext context;
    private final ModelEngine engine;
    private final LoadMeter loadMeter;
    private final Consumer<Refusal> rejectQueued;
    private final Map<Attempt, String> bootIdByAttempt = new HashMap<>();
    private final Map<String, CompletableFuture<EngineStatus>> pendingChecks = new HashMap<>();
    private volatile long lastCrashMillis = Long.MIN_VALUE;

    CrashHandler(SideContext context, ModelEngine engine, LoadMeter loadMeter, Consumer<Refusal> rejectQueued) {
        this.context = context;
        this.engine = engine;
        this.loadMeter = loadMeter;
        this.rejectQueued = rejectQueued;
    }

    /** Records, until the attempt ends, that it runs in one incarnation of the engine. */
    void track(Attempt attempt, String bootId) {
        synchronized (this) {
            bootIdByAttempt.put(attempt, bootId);
        }
        attempt.whenEnded().thenRun(() -> untrack(attempt));
    }

    /** Returns when a crash was last detected, in monotonic milliseconds. */
    long lastCrashMillis() {
        return lastCrashMillis;
    }

    /** Checks whether the engine is still in the incarnation in which a broken stream was opened. */
    CompletableFuture<EngineStatus> checkEngine(String bootId) {
        CompletableFuture<EngineStatus> status;
        synchronized (this) {
            if (pendingChecks.containsKey(bootId)) {
                return pendingChecks.get(bootId);
            }
            status = new CompletableFuture<>();
            pendingChecks.put(bootId, status);
        }
        probe(bootId, MAX_PROBES, status);
        return status;
    }

    private synchronized void untrack(Attempt attempt) {
        bootIdByAttempt.remove(attempt);
    }

    private void probe(String bootId, int probesLeft, CompletableFuture<EngineStatus> status) {
        engine.residency()
                .orTimeout(PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete((report, failure) -> {
                    if (failure == null) {
                        completeCheck(
                                bootId,
                                bootId.equals(report.bootId()) ? EngineStatus.SAME_BOOT : EngineStatus.CRASHED,
                                status);
                    } else if (probesLeft <= 1) {
                        completeCheck(bootId, EngineStatus.CRASHED, status);
                    } else {
                        context.scheduler()
                                .schedule(
                                        () -> probe(bootId, probesLeft - 1, status),
                                        PROBE_INTERVAL_MILLIS,
                                        TimeUnit.MILLISECONDS);
                    }
                });
    }

    private void completeCheck(String bootId, EngineStatus found, CompletableFuture<EngineStatus> status) {
        CompletableFuture<Void> handled =
                found == EngineStatus.CRASHED ? handleCrash(bootId) : CompletableFuture.completedFuture(null);
        handled.whenComplete((ignored, failure) -> {
            synchronized (this) {
                pendingChecks.remove(bootId);
            }
            status.complete(found);
        });
    }

    private CompletableFuture<Void> handleCrash(String bootId) {
        lastCrashMillis = context.clock().monotonicMillis();
        List<Attempt> interrupted = attemptsRunningIn(bootId);
        Set<Long> fingerprints = interrupted.stream()
                .map(attempt -> attempt.submission().getFingerprint())
                .collect(Collectors.toSet());
        LOG.log(System.Logger.Level.ERROR, "side: target crashed with {0} requests running.", interrupted.size());
        context.count("waxwingquay.side.crashes", "side", context.identity().sideId());
        List<SuspectRecord> records =
                context.suspects().recordCrash(context.identity().sideId() + "/" + bootId, fingerprints);
        rejectQueued.accept(loadMeter.refusal(RefusalReason.TARGET_DOWN, "the target crashed", Execution.DID_NOT_RUN));
        return push(records).thenRun(() -> fail(interrupted));
    }

    private synchronized List<Attempt> attemptsRunningIn(String bootId) {
        return bootIdByAttempt.entrySet().stream()
                .filter(entry -> entry.getValue().equals(bootId))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Notifies every side of the service, whatever models it holds. Knowledge of another side's memory is stale: a side
     * that has just crashed, or is loading the model, would otherwise accept the request, and a third target would
     * crash.
     */
    private CompletableFuture<Void> push(List<SuspectRecord> records) {
        SuspectNotice notice = new SuspectNotice(records);
        CompletableFuture<?>[] pushes = context.membership().sides().stream()
                .filter(side -> !side.id().equals(context.identity().sideId()))
                .filter(side -> side.service().equals(context.identity().serviceName()))
                .map(side -> push(side, notice))
                .toArray(CompletableFuture[]::new);
        return CompletableFuture.allOf(pushes)
                .completeOnTimeout(null, context.limits().noticeTimeoutMillis(), TimeUnit.MILLISECONDS);
    }

    private CompletableFuture<Void> push(Side side, SuspectNotice notice) {
        return context.connections().to(side.address()).noteSuspects(notice).handle((taken, failure) -> null);
    }

    private void fail(List<Attempt> interrupted) {
        long nowMillis = context.clock().monotonicMillis();
        interrupted.forEach(attempt -> attempt.fail(
                loadMeter.refusal(
                        RefusalReason.TARGET_DOWN, "the target crashed while it ran the request", Execution.UNKNOWN),
                nowMillis));
    }

    /** The state of the engine after a stream broke. */
    enum EngineStatus {
        /** The engine runs in the same incarnation; only the connection broke. */
        SAME_BOOT,
        /** The engine restarted or cannot be reached. */
        CRASHED
    }
}
