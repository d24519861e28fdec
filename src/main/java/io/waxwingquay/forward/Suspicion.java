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
    static final long COME_BACK_MILLIS = 5_000L;

    /**
     * How long a suspect looks for a replica that runs no other one. One that ends replicas does so as it begins to run,
     * so this is enough to part the others from it, and short enough for them to be in time still.
     */
    private static final long APART_MILLIS = 240L;

    private final SuspectTracker suspects;
    private final LongSupplier hash;
    private OptionalLong fingerprint = OptionalLong.empty();
    private OptionalLong apartSinceMillis = OptionalLong.empty();
    private Target runningAt;
    private boolean innocent;

    Suspicion(SuspectTracker suspects, LongSupplier hash) {
        this.suspects = suspects;
        this.hash = hash;
    }

    /** Why it is refused; its name stands in the log beside each replica that went. */
    String why() {
        return "replicas went when they began to run it, suspect " + SuspectTracker.name(fingerprint());
    }

    boolean isRefused() {
        return standing() == Standing.QUARANTINED;
    }

    /**
     * Failure: a request that ends replicas and those that ran beside it are sent again together. Symptom: they are there
     * at the second crash too, and are refused with it. So a suspect goes where this entry has no other one under way,
     * waits a little for such a place, and only then goes beside another.
     */
    Choice choose(Set<Target> tried, Function<Set<Target>, Choice> pick) {
        Set<Target> occupied = suspects.runningSuspects();
        if (occupied.isEmpty() || standing() != Standing.SUSPECT) {
            return pick.apply(tried);
        }
        Set<Target> without = new HashSet<>(tried);
        without.addAll(occupied);
        Choice apart = pick.apply(without);
        if (apart instanceof Choice.Send || apart instanceof Choice.LoadAdapter) {
            return apart;
        }
        Choice beside = pick.apply(tried);
        if (!(beside instanceof Choice.Send)) {
            return beside;
        }
        long nowMillis = suspects.nowMillis();
        apartSinceMillis = OptionalLong.of(apartSinceMillis.orElse(nowMillis));
        return nowMillis - apartSinceMillis.getAsLong() < APART_MILLIS ? new Choice.Apart() : beside;
    }

    void sent(Target target) {
        if (standing() == Standing.SUSPECT) {
            runningAt = target;
            suspects.began(target);
        }
    }

    /** Nothing of it is under way at a replica any more, or it has shown there to be none that ends replicas. */
    void ended() {
        if (runningAt != null) {
            suspects.ended(runningAt);
            runningAt = null;
        }
    }

    /** The connection broke before any part of an answer. */
    void broke(Target target) {
        if (!innocent) {
            suspects.crashed(target, fingerprint());
        }
    }

    /** It was answered well, or its answer has begun. */
    void answered(Target target, long sentMillis) {
        suspects.answered(target, sentMillis);
        innocent = true;
        ended();
        if (!suspects.shared().isEmpty()) {
            suspects.shared().answered(fingerprint());
        }
    }

    /** While there is no suspect at all a request costs nothing here. */
    private Standing standing() {
        return innocent || suspects.shared().isEmpty()
                ? Standing.CLEAR
                : suspects.shared().standing(fingerprint());
    }

    private long fingerprint() {
        if (fingerprint.isEmpty()) {
            fingerprint = OptionalLong.of(hash.getAsLong());
        }
        return fingerprint.getAsLong();
    }
}
