package io.waxwingquay.forward;

import io.waxwingquay.suspect.SharedSuspects;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.LongStream;

/**
 * Tracks the requests that were running when replicas crashed, as far as this entry knows. Not thread-safe: everything
 * runs on the event loop.
 */
public final class SuspectTracker {

    /** Answers that a replica sent before a crash may still be read for this long after its connections have broken. */
    private static final long IN_FLIGHT_ANSWER_MILLIS = 100L;

    /**
     * How long a broken connection is remembered: a replica that has not crashed answers its earlier requests by then,
     * or hardly at all.
     */
    private static final long BREAK_RETENTION_MILLIS = 30_000L;

    /** The most broken connections that are remembered. */
    private static final int MAX_BREAKS = 256;

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private final SharedSuspects shared;
    private final LongSupplier clockMillis;
    private final Runnable onChange;
    private Consumer<SuspectedCrash.Phase> onCrash = phase -> {};
    private final Map<Target, Integer> runningSuspectCounts = new HashMap<>();
    private final Deque<ConnectionBreak> breaks = new ArrayDeque<>();
    private final Set<Target> brokenTargets = new HashSet<>();

    /**
     * Creates a tracker for an entry.
     *
     * @param shared the suspects that the entry shares with other processes.
     * @param clockMillis the monotonic clock.
     * @param onChange notified of changes that other processes should learn soon.
     */
    public SuspectTracker(SharedSuspects shared, LongSupplier clockMillis, Runnable onChange) {
        this.shared = shared;
        this.clockMillis = clockMillis;
        this.onChange = onChange;
    }

    /** Sets what is notified of each recorded crash, for metrics. */
    void onCrash(Consumer<SuspectedCrash.Phase> listener) {
        onCrash = listener;
    }

    Suspicion forRequest(RequestFingerprints fingerprints) {
        return new Suspicion(this, fingerprints);
    }

    static String displayName(long fingerprint) {
        return Long.toHexString(fingerprint);
    }

    SharedSuspects shared() {
        return shared;
    }

    long nowMillis() {
        return clockMillis.getAsLong();
    }

    /** Returns the replicas to which this entry has sent a suspect that may still crash them. */
    Set<Target> targetsRunningSuspects() {
        return runningSuspectCounts.keySet();
    }

    void suspectStarted(Target target) {
        runningSuspectCounts.merge(target, 1, Integer::sum);
    }

    void suspectEnded(Target target) {
        runningSuspectCounts.computeIfPresent(target, (key, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Records that a replica may have crashed under a request.
     *
     * @param target the replica.
     * @param request the request.
     * @param crash how the replica ended its answer.
     * @param knownChainWeights for each of the request's hashes, the weight of the chain of crashes known when it was sent.
     */
    void crashed(Target target, RequestFingerprints request, SuspectedCrash crash, int[] knownChainWeights) {
        long fingerprint = request.whole();
        String incarnation = target.id() + "/" + target.record().bornMillis();
        if (crash.phase() == SuspectedCrash.Phase.BEFORE_ANSWER) {
            shared.recordCrash(incarnation, fingerprint);
        }
        long[] hashes = request.crashHashes();
        for (int index = 0; index < hashes.length; index++) {
            shared.promptParts()
                    .recordCrash(
                            incarnation,
                            hashes[index],
                            request.position(index),
                            crash.isWeakEvidence(),
                            knownChainWeights[index]);
        }
        LOG.log(
                System.Logger.Level.INFO,
                "forward: {0} replica={1} suspect={2} id={3} prompt_parts={4} run_ms={5} weight={6}",
                crash.phase().description(),
                target.id(),
                displayName(fingerprint),
                request.attemptId(),
                String.join(",", request.promptParts()),
                Long.toString(crash.runMillis()),
                shared.promptParts().chainWeight(fingerprint));
        onCrash.accept(crash.phase());
        breaks.addLast(new ConnectionBreak(target, incarnation, fingerprint, hashes, nowMillis()));
        if (breaks.size() > MAX_BREAKS) {
            breaks.removeFirst();
        }
        brokenTargets.add(target);
        onChange.run();
    }

    /** Notes that a request was answered in full, so that it caused none of the crashes known so far. */
    void absolved(RequestFingerprints request) {
        long urgent = LongStream.of(request.crashHashes())
                .filter(shared.promptParts()::recordSuccess)
                .count();
        if (urgent > 0) {
            onChange.run();
        }
    }

    /**
     * Withdraws crashes that were none. A replica with too many connections may reset some of them, break off single
     * responses, or be silent for a while, without crashing; a request to which that happened twice would be quarantined
     * wrongly. A request sent before a break of which a part is answered after it shows that the replica survived the break.
     */
    void answered(Target target, long sentAtMillis) {
        if (!brokenTargets.contains(target)) {
            return;
        }
        long retainedSinceMillis = nowMillis() - BREAK_RETENTION_MILLIS;
        breaks.removeIf(each -> each.atMillis < retainedSinceMillis);
        long provenBeforeMillis = nowMillis() - IN_FLIGHT_ANSWER_MILLIS;
        List<ConnectionBreak> disproved = breaks.stream()
                .filter(each -> each.target == target)
                .filter(each -> sentAtMillis < each.atMillis && each.atMillis < provenBeforeMillis)
                .toList();
        disproved.forEach(this::retract);
        breaks.removeAll(disproved);
        brokenTargets.clear();
        breaks.forEach(each -> brokenTargets.add(each.target));
    }

    private void retract(ConnectionBreak disproved) {
        shared.retractCrash(disproved.incarnation, disproved.fingerprint);
        for (long hash : disproved.hashes) {
            shared.promptParts().retractCrash(disproved.incarnation, hash);
        }
    }

    /** A broken connection, without the request, whose body would stay in memory for as long as the break is remembered. */
    private record ConnectionBreak(Target target, String incarnation, long fingerprint, long[] hashes, long atMillis) {}
}
