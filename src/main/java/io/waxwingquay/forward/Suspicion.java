package io.waxwingquay.forward;

import io.waxwingquay.suspect.PromptPartSuspects;
import io.waxwingquay.suspect.SuspectRegistry.Standing;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongPredicate;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * Tells whether one request may be the cause of crashes of replicas.
 *
 * <p>A request that crashes each replica that begins to run it never receives part of a response. So each attempt
 * counts whose connection broke before any part of one; two at different replicas are enough. All requests that a
 * replica ran count alike when it crashes; the harmless ones are told from the cause by their next attempt.
 *
 * <p>The cause may also be a part of the prompt that requests share which differ in all else. Parts are tracked by
 * themselves, and released by any answer to a request with them.
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
        this.knownChainWeights = new int[fingerprints.promptParts().size()];
    }

    /**
     * Returns why the request is rejected, with the prompt part or the name of the suspect, which are also logged with each
     * replica that crashed.
     */
    String quarantineReason() {
        return quarantinedPart()
                .map(part -> "replicas went when they began to run requests with its prompt part " + part)
                .orElseGet(() -> "replicas went when they began to run it, suspect "
                        + SuspectTracker.displayName(fingerprints.whole()));
    }

    boolean isQuarantined() {
        return standing() == Standing.QUARANTINED || quarantinedPart().isPresent();
    }

    private Optional<String> quarantinedPart() {
        return partsWhere(parts()::isQuarantined)
                .mapToObj(fingerprints.promptParts()::get)
                .findFirst();
    }

    private boolean isSuspect() {
        return standing() == Standing.SUSPECT
                || partsWhere(parts()::isSuspect).findAny().isPresent();
    }

    /** Returns the positions of the request's prompt parts that match, none once the request has proved harmless. */
    private IntStream partsWhere(LongPredicate matches) {
        if (cleared || parts().isEmpty()) {
            return IntStream.empty();
        }
        long[] hashes = fingerprints.promptPartHashes();
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
            knownChainWeights = LongStream.of(fingerprints.promptPartHashes())
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

    /** Notes that the connection broke before any part of a response. */
    void connectionBroke(Target target) {
        if (!cleared) {
            tracker.crashed(target, fingerprints, knownChainWeights);
        }
    }

    /** Notes that the request was answered without a failure, or that its response has begun. */
    void answered(Target target, long sentAtMillis) {
        tracker.answered(target, sentAtMillis);
        cleared = true;
        ended();
        if (!tracker.shared().isEmpty()) {
            tracker.shared().recordSuccess(fingerprints.whole());
        }
        if (!parts().isEmpty()) {
            LongStream.of(fingerprints.promptPartHashes()).forEach(parts()::recordSuccess);
        }
    }

    /** Returns the standing of the request; while there are no suspects, its fingerprint is not computed. */
    private Standing standing() {
        return cleared || tracker.shared().isEmpty()
                ? Standing.CLEAR
                : tracker.shared().standing(fingerprints.whole());
    }
}
