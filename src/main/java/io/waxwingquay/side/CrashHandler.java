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
 * Tells a cut stream from a crashed engine, and after a crash names the requests that were running.
 *
 * <p>A request that crashes its target is sent again by its caller and would take down one target after the
 * other. So the suspects are pushed to the sides that could run it next before any running attempt fails, and
 * thus before its entry can try elsewhere.
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

    /** Notes that an attempt runs in a boot of the engine, until it ends. */
    void track(Attempt attempt, String bootId) {
        synchronized (this) {
            bootIdByAttempt.put(attempt, bootId);
        }
        attempt.whenEnded().thenRun(() -> untrack(attempt));
    }

    /** When a crash was last seen, in monotonic milliseconds. */
    long lastCrashMillis() {
        return lastCrashMillis;
    }

    /** Finds out whether the engine still is in the boot in which a now cut stream began. */
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
     * Every side of the service is told, whatever it holds: what is known of another's memory lags, and a side that has
     * just crashed or loads the model now would otherwise take the request again and a third target would go down.
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
                loadMeter.refusal(RefusalReason.TARGET_DOWN, "the target crashed while it ran this", Execution.UNKNOWN),
                nowMillis));
    }

    /** What became of the engine. */
    enum EngineStatus {
        /** It lives; only the connection was cut. */
        SAME_BOOT,
        /** It restarted or cannot be reached. */
        CRASHED
    }
}
