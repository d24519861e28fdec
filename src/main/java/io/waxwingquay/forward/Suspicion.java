package io.waxwingquay.forward;

import io.waxwingquay.suspect.PromptPartSuspects;
import io.waxwingquay.suspect.SuspectRegistry.Standing;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongPredicate;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * Tells whether one request may be the cause of crashes of replicas.
 *
 * <p>A request that crashes each replica that begins to run it never receives a complete response, though it may receive a
 * part of one. All requests that a replica ran count alike when it crashes; the harmless ones are told from the cause by their
 * next attempt. Crashes before any part of a response are few, and two at different replicas are enough. Those within a
 * response may cut many sound streams, and count as chains of crashes.
 *
 * <p>The cause may also be a part of the prompt that requests share which differ in all else. Parts are tracked by
 * themselves, and released by any complete answer to a request with them.
 */
final class Suspicion {

    /** Retry-after delay of a quarantined request, which would be rejected again if it came sooner. */
    static final long RETRY_AFTER_MILLIS = 5_000L;

    /**
     * How long a suspect waits for a replica that runs no other suspect. A request that crashes replicas does so as it
     * begins to run, so this is enough to isolate the others from it, and short enough for them to be in time.
     */
    private static final long ISOLATION_WAIT_MILLIS = 240L;

    private final SuspectTracker tracker;
    private final RequestFingerprints fingerprints;
    private int[] knownChainWeights;
    private OptionalLong isolatingSinceMillis = OptionalLong.empty();
    private Target runningTarget;
    private boolean cleared;

    Suspicion(SuspectTracker tracker, RequestFingerprints fingerprints) {
        this.tracker = tracker;
        this.fingerprints = fingerprints;
        this.knownChainWeights = new int[fingerprints.promptParts().size() + 1];
    }

    /**
     * Returns why the request is rejected, with the prompt part or the name of the suspect, which are also logged with each
     * replica that crashed.
     */
    String quarantineReason() {
        return hashesWhere(parts()::isQuarantined)
                .filter(index -> index < fingerprints.promptParts().size())
                .mapToObj(fingerprints.promptParts()::get)
                .findFirst()
                .map(part -> "replicas went when they began to run requests with its prompt part " + part)
                .orElseGet(() -> "replicas went when they began to run it, suspect "
                        + SuspectTracker.displayName(fingerprints.whole()));
    }

    boolean isQuarantined() {
        return standing() == Standing.QUARANTINED && !parts().isPresentByChance(fingerprints.whole())
                || hashesWhere(parts()::isQuarantined).findAny().isPresent();
    }

    /**
     * Returns whether a crash was recorded so lately that the connections of other requests which it cut may not be known to
     * have broken: one of these may turn out to be the cause.
     */
    boolean isStandingUnsettled() {
        return hashesWhere(parts()::hasGrownLately).findAny().isPresent();
    }

    private boolean isSuspect() {
        return standing() != Standing.CLEAR || isPartOfSuspectedChain();
    }

    private boolean isPartOfSuspectedChain() {
        return hashesWhere(parts()::isSuspect).findAny().isPresent();
    }

    /** Returns the positions of the request's hashes that match, none once the request has proved harmless. */
    private IntStream hashesWhere(LongPredicate matches) {
        if (cleared || parts().isEmpty()) {
            return IntStream.empty();
        }
        long[] hashes = fingerprints.crashHashes();
        return IntStream.range(0, hashes.length).filter(index -> matches.test(hashes[index]));
    }

    private PromptPartSuspects parts() {
        return tracker.shared().promptParts();
    }

    /**
     * Chooses a replica on which a suspect is isolated. If a request that crashes replicas and those that ran beside it
     * were resent together, they would be present at the second crash too, and be quarantined with it. So a suspect is
     * sent where this entry runs no other one, waits a little for such a replica, and only then shares one.
     */
    Choice choose(Set<Target> triedTargets, Function<Set<Target>, Choice> chooser) {
        Set<Target> occupied = tracker.targetsRunningSuspects();
        if (occupied.isEmpty() || !isSuspect()) {
            return chooser.apply(triedTargets);
        }
        Set<Target> excluded = new HashSet<>(triedTargets);
        excluded.addAll(occupied);
        Choice isolated = chooser.apply(excluded);
        if (isolated instanceof Choice.Send
                || isolated instanceof Choice.LoadAdapter
                || isolated instanceof Choice.Reserve) {
            return isolated;
        }
        Choice shared = chooser.apply(triedTargets);
        if (!(shared instanceof Choice.Send || shared instanceof Choice.Reserve)) {
            return shared;
        }
        long nowMillis = tracker.nowMillis();
        isolatingSinceMillis = OptionalLong.of(isolatingSinceMillis.orElse(nowMillis));
        return nowMillis - isolatingSinceMillis.getAsLong() < ISOLATION_WAIT_MILLIS
                ? new Choice.AwaitIsolation()
                : shared;
    }

    void sent(Target target) {
        if (!parts().isEmpty()) {
            knownChainWeights = LongStream.of(fingerprints.crashHashes())
                    .mapToInt(parts()::chainWeight)
                    .toArray();
        }
        if (isSuspect()) {
            runningTarget = target;
            tracker.suspectStarted(target);
        }
    }

    /** Notes that the request no longer runs at a replica, or has proved harmless there. */
    void ended() {
        if (runningTarget != null) {
            tracker.suspectEnded(runningTarget);
            runningTarget = null;
        }
    }

    /** Notes that the replica may have crashed under the request. A replica that leaves ends its answers by itself. */
    void crashed(Target target, SuspectedCrash crash) {
        boolean isExpected = crash.phase() != SuspectedCrash.Phase.BEFORE_ANSWER && target.isLeaving();
        if (!cleared && !isExpected) {
            tracker.crashed(target, fingerprints, crash, knownChainWeights);
        }
    }

    /** Notes that more of the response has arrived, which shows that the replica survived all breaks before. */
    void answerContinues(Target target, long sentAtMillis) {
        tracker.answered(target, sentAtMillis);
    }

    /**
     * Notes that the response has begun: the request does not crash replicas before that, but may still do so before the
     * end.
     */
    void answerBegan(Target target, long sentAtMillis) {
        tracker.answered(target, sentAtMillis);
        if (!cleared && !tracker.shared().isEmpty()) {
            tracker.shared().recordSuccess(fingerprints.whole());
        }
        if (runningTarget != null && !isPartOfSuspectedChain()) {
            ended();
        }
    }

    /** Notes that the request was answered in full and without a failure. */
    void answered(Target target, long sentAtMillis) {
        tracker.answered(target, sentAtMillis);
        cleared = true;
        ended();
        if (!tracker.shared().isEmpty()) {
            tracker.shared().recordSuccess(fingerprints.whole());
        }
        if (!parts().isEmpty()) {
            tracker.absolved(fingerprints);
        }
    }

    /** Returns the standing of the request; while there are no suspects, its fingerprint is not computed. */
    private Standing standing() {
        return cleared || tracker.shared().isEmpty()
                ? Standing.CLEAR
                : tracker.shared().standing(fingerprints.whole());
    }
}
