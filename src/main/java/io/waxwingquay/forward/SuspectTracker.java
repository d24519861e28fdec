package io.waxwingquay.forward;

import io.waxwingquay.net.ServerRequest;
import io.waxwingquay.suspect.Fingerprint;
import io.waxwingquay.suspect.SharedSuspects;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * What this entry knows of requests whose replicas went while they ran. All of it runs on the loop.
 */
public final class SuspectTracker {

    /** Answers that a replica gave before it went may be read a little after its connections have broken. */
    private static final long IN_FLIGHT_ANSWER_MILLIS = 100L;

    /** A replica that lives answers what it had by then, or hardly any more. */
    private static final long BREAK_RETENTION_MILLIS = 30_000L;

    /** The most broken connections that are remembered to be looked at again. */
    private static final int MAX_BREAKS = 256;

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private final SharedSuspects shared;
    private final LongSupplier clockMillis;
    private final Runnable onChange;
    private final Map<Target, Integer> runningSuspectCounts = new HashMap<>();
    private final Deque<ConnectionBreak> breaks = new ArrayDeque<>();

    /**
     * The suspects of an entry.
     *
     * @param shared what it knows together with other processes.
     * @param clockMillis the steady clock.
     * @param onChange told when there is something that the others should know soon.
     */
    public SuspectTracker(SharedSuspects shared, LongSupplier clockMillis, Runnable onChange) {
        this.shared = shared;
        this.clockMillis = clockMillis;
        this.onChange = onChange;
    }

    Suspicion forRequest(MessageCodec codec, ServerRequest request) {
        return new Suspicion(this, () -> fingerprint(codec, request));
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

    /** Replicas to which this entry has sent a suspect that has not begun to be answered. */
    Set<Target> targetsRunningSuspects() {
        return runningSuspectCounts.keySet();
    }

    void suspectStarted(Target target) {
        runningSuspectCounts.merge(target, 1, Integer::sum);
    }

    void suspectEnded(Target target) {
        runningSuspectCounts.computeIfPresent(target, (key, count) -> count > 1 ? count - 1 : null);
    }

    void crashed(Target target, long fingerprint) {
        String incarnation = target.id() + "/" + target.record().bornMillis();
        shared.crashed(incarnation, fingerprint);
        LOG.log(
                System.Logger.Level.INFO,
                "forward: broke before an answer replica={0} suspect={1}",
                target.id(),
                displayName(fingerprint));
        breaks.addLast(new ConnectionBreak(target, incarnation, fingerprint, nowMillis()));
        if (breaks.size() > MAX_BREAKS) {
            breaks.removeFirst();
        }
        onChange.run();
    }

    /**
     * Failure: a replica that has too many connections resets some of them, or breaks off single answers, and lives on.
     * Symptom: a request that this happens to twice is taken for one that ends replicas, and is refused. What a replica
     * was sent before a break and answers after it shows that it lives, so that break was no crash.
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
        disproved.forEach(each -> shared.survived(each.incarnation, each.fingerprint));
        breaks.removeAll(disproved);
    }

    private static long fingerprint(MessageCodec codec, ServerRequest request) {
        List<byte[]> parts = new ArrayList<>();
        parts.add(bytes(request.method()));
        parts.add(bytes(request.target()));
        codec.identityFields(request.fields()).forEach(text -> parts.add(bytes(text)));
        parts.add(request.body());
        return Fingerprint.of(parts);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private record ConnectionBreak(Target target, String incarnation, long fingerprint, long atMillis) {}
}
