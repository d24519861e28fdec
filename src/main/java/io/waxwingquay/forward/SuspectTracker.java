package io.waxwingquay.forward;

import io.waxwingquay.suspect.PromptPartSuspects.Position;
import io.waxwingquay.suspect.SharedSuspects;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

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
    private final Map<Target, Integer> runningSuspectCounts = new HashMap<>();
    private final Deque<ConnectionBreak> breaks = new ArrayDeque<>();

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

    /** Returns the replicas to which this entry has sent a suspect whose response has not begun. */
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
     * @param knownChainWeights for each of its prompt parts, the weight of the chain of crashes known when it was sent.
     */
    void crashed(Target target, RequestFingerprints request, int[] knownChainWeights) {
        long fingerprint = request.whole();
        String incarnation = target.id() + "/" + target.record().bornMillis();
        shared.recordCrash(incarnation, fingerprint);
        long[] parts = request.promptPartHashes();
        for (int index = 0; index < parts.length; index++) {
            Position position = index == parts.length - 1 ? Position.LAST : Position.EARLIER;
            shared.promptParts().recordCrash(incarnation, parts[index], position, knownChainWeights[index]);
        }
        LOG.log(
                System.Logger.Level.INFO,
                "forward: broke before an answer replica={0} suspect={1} id={2} prompt_parts={3}",
                target.id(),
                displayName(fingerprint),
                request.attemptId(),
                String.join(",", request.promptParts()));
        breaks.addLast(new ConnectionBreak(target, incarnation, fingerprint, parts, nowMillis()));
        if (breaks.size() > MAX_BREAKS) {
            breaks.removeFirst();
        }
        onChange.run();
    }

    /**
     * Withdraws crashes that were none. A replica with too many connections may reset some of them, or break off single
     * responses, without crashing; a request to which that happened twice would be quarantined wrongly. A request sent
     * before a break and answered after it shows that the replica survived the break.
     */
    void answered(Target target, long sentAtMillis) {
        if (breaks.isEmpty()) {
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
    }

    private void retract(ConnectionBreak disproved) {
        shared.retractCrash(disproved.incarnation, disproved.fingerprint);
        for (long part : disproved.promptParts) {
            shared.promptParts().retractCrash(disproved.incarnation, part);
        }
    }

    /** A broken connection, without the request, whose body would stay in memory for as long as the break is remembered. */
    private record ConnectionBreak(
            Target target, String incarnation, long fingerprint, long[] promptParts, long atMillis) {}
}
