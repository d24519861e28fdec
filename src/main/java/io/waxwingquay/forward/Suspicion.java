package io.waxwingquay.forward;

import io.waxwingquay.suspect.SuspectBook.Standing;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Whether one request may be what ends replicas.
 *
 * <p>One that ends each replica that begins to run it never gets a part of an answer. So each send counts that ends with
 * a broken connection before any, and two at different replicas are enough. All that a replica ran count alike when it
 * goes; the others among them are told from it by their next send.
 */
final class Suspicion {

    /** Its caller is asked not to come again soon; it would be refused again. */
    static final long RETRY_AFTER_MILLIS = 5_000L;

    /**
     * How long a suspect looks for a replica that runs no other one. One that ends replicas does so as it begins to run,
     * so this is enough to part the others from it, and short enough for them to be in time still.
     */
    private static final long ISOLATION_WAIT_MILLIS = 240L;

    private final SuspectTracker tracker;
    private final LongSupplier fingerprintSupplier;
    private OptionalLong fingerprint = OptionalLong.empty();
    private OptionalLong isolatingSinceMillis = OptionalLong.empty();
    private Target runningTarget;
    private boolean cleared;

    Suspicion(SuspectTracker tracker, LongSupplier fingerprintSupplier) {
        this.tracker = tracker;
        this.fingerprintSupplier = fingerprintSupplier;
    }

    /** Why it is refused; its name stands in the log beside each replica that went. */
    String quarantineReason() {
        return "replicas went when they began to run it, suspect " + SuspectTracker.displayName(fingerprint());
    }

    boolean isQuarantined() {
        return standing() == Standing.QUARANTINED;
    }

    /**
     * Failure: a request that ends replicas and those that ran beside it are sent again together. Symptom: they are there
     * at the second crash too, and are refused with it. So a suspect goes where this entry has no other one under way,
     * waits a little for such a place, and only then goes beside another.
     */
    Choice choose(Set<Target> triedTargets, Function<Set<Target>, Choice> chooser) {
        Set<Target> occupied = tracker.targetsRunningSuspects();
        if (occupied.isEmpty() || standing() != Standing.SUSPECT) {
            return chooser.apply(triedTargets);
        }
        Set<Target> excluded = new HashSet<>(triedTargets);
        excluded.addAll(occupied);
        Choice isolated = chooser.apply(excluded);
        if (isolated instanceof Choice.Send || isolated instanceof Choice.LoadAdapter) {
            return isolated;
        }
        Choice shared = chooser.apply(triedTargets);
        if (!(shared instanceof Choice.Send)) {
            return shared;
        }
        long nowMillis = tracker.nowMillis();
        isolatingSinceMillis = OptionalLong.of(isolatingSinceMillis.orElse(nowMillis));
        return nowMillis - isolatingSinceMillis.getAsLong() < ISOLATION_WAIT_MILLIS
                ? new Choice.AwaitIsolation()
                : shared;
    }

    void sent(Target target) {
        if (standing() == Standing.SUSPECT) {
            runningTarget = target;
            tracker.suspectStarted(target);
        }
    }

    /** Nothing of it is under way at a replica any more, or it has shown there to be none that ends replicas. */
    void ended() {
        if (runningTarget != null) {
            tracker.suspectEnded(runningTarget);
            runningTarget = null;
        }
    }

    /** The connection broke before any part of an answer. */
    void connectionBroke(Target target) {
        if (!cleared) {
            tracker.crashed(target, fingerprint());
        }
    }

    /** It was answered well, or its answer has begun. */
    void answered(Target target, long sentAtMillis) {
        tracker.answered(target, sentAtMillis);
        cleared = true;
        ended();
        if (!tracker.shared().isEmpty()) {
            tracker.shared().answered(fingerprint());
        }
    }

    /** While there is no suspect at all a request costs nothing here. */
    private Standing standing() {
        return cleared || tracker.shared().isEmpty()
                ? Standing.CLEAR
                : tracker.shared().standing(fingerprint());
    }

    private long fingerprint() {
        if (fingerprint.isEmpty()) {
            fingerprint = OptionalLong.of(fingerprintSupplier.getAsLong());
        }
        return fingerprint.getAsLong();
    }
}
