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
    private static final int PROBES = 3;
    private static final long PROBE_MILLIS = 1_000L;
    private static final long PROBE_GAP_MILLIS = 100L;

    private final SideContext context;
    private final ModelEngine engine;
    private final LoadMeter meter;
    private final Consumer<Refusal> refuseQueued;
    private final Map<Attempt, String> running = new HashMap<>();
    private final Map<String, CompletableFuture<Verdict>> examinations = new HashMap<>();
    private volatile long downMillis = Long.MIN_VALUE;

    CrashHandler(SideContext context, ModelEngine engine, LoadMeter meter, Consumer<Refusal> refuseQueued) {
        this.context = context;
        this.engine = engine;
        this.meter = meter;
        this.refuseQueued = refuseQueued;
    }

    /** Notes that an attempt runs in a boot of the engine, until it ends. */
    void track(Attempt attempt, String bootId) {
        synchronized (this) {
            running.put(attempt, bootId);
        }
        attempt.ended().thenRun(() -> untrack(attempt));
    }

    /** When a crash was last seen, in monotonic milliseconds. */
    long downMillis() {
        return downMillis;
    }

    /** Finds out whether the engine still is in the boot in which a now cut stream began. */
    CompletableFuture<Verdict> examine(String bootId) {
        CompletableFuture<Verdict> verdict;
        synchronized (this) {
            if (examinations.containsKey(bootId)) {
                return examinations.get(bootId);
            }
            verdict = new CompletableFuture<>();
            examinations.put(bootId, verdict);
        }
        probe(bootId, PROBES, verdict);
        return verdict;
    }

    private synchronized void untrack(Attempt attempt) {
        running.remove(attempt);
    }

    private void probe(String bootId, int probesLeft, CompletableFuture<Verdict> verdict) {
        engine.residency().orTimeout(PROBE_MILLIS, TimeUnit.MILLISECONDS).whenComplete((report, failure) -> {
            if (failure == null) {
                settle(bootId, bootId.equals(report.bootId()) ? Verdict.SAME_BOOT : Verdict.CRASHED, verdict);
            } else if (probesLeft <= 1) {
                settle(bootId, Verdict.CRASHED, verdict);
            } else {
                context.scheduler()
                        .schedule(
                                () -> probe(bootId, probesLeft - 1, verdict), PROBE_GAP_MILLIS, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void settle(String bootId, Verdict found, CompletableFuture<Verdict> verdict) {
        CompletableFuture<Void> handled =
                found == Verdict.CRASHED ? handleCrash(bootId) : CompletableFuture.completedFuture(null);
        handled.whenComplete((ignored, failure) -> {
            synchronized (this) {
                examinations.remove(bootId);
            }
            verdict.complete(found);
        });
    }

    private CompletableFuture<Void> handleCrash(String bootId) {
        downMillis = context.clock().monotonicMillis();
        List<Attempt> victims = victims(bootId);
        Set<Long> fingerprints = victims.stream()
                .map(attempt -> attempt.submission().getFingerprint())
                .collect(Collectors.toSet());
        LOG.log(System.Logger.Level.ERROR, "side: target crashed with {0} requests running.", victims.size());
        context.count("waxwingquay.side.crashes", "side", context.identity().sideId());
        List<SuspectRecord> records =
                context.suspects().recordCrash(context.identity().sideId() + "/" + bootId, fingerprints);
        refuseQueued.accept(meter.refusal(RefusalReason.TARGET_DOWN, "the target crashed", Execution.DID_NOT_RUN));
        return push(records).thenRun(() -> fail(victims));
    }

    private synchronized List<Attempt> victims(String bootId) {
        return running.entrySet().stream()
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

    private void fail(List<Attempt> victims) {
        long nowMillis = context.clock().monotonicMillis();
        victims.forEach(attempt -> attempt.fail(
                meter.refusal(RefusalReason.TARGET_DOWN, "the target crashed while it ran this", Execution.UNKNOWN),
                nowMillis));
    }

    /** What became of the engine. */
    enum Verdict {
        /** It lives; only the connection was cut. */
        SAME_BOOT,
        /** It restarted or cannot be reached. */
        CRASHED
    }
}
