package io.waxwingquay.forward;

import io.waxwingquay.admission.SharedRate;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.DoubleSupplier;

/**
 * The limit that a replica's newest answer names, and this entry's part of it. An entry that was not told yet sends as if
 * there were none, and is told with its first answer.
 */
final class ReplicaRateLimit {

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private OptionalDouble announcedPerSecond = OptionalDouble.empty();
    private Optional<SharedRate> share = Optional.empty();

    /**
     * Takes in what an answer names.
     *
     * @param replica the replica's id, for logs.
     * @param newPerSecond requests a second that it takes from all entries together; empty if it names none any more.
     * @param entryCount how many share it.
     * @param phase where in its cycle this entry begins, from 0 up to 1; drawn for each new limit.
     * @param nowMillis the steady time.
     */
    void announced(String replica, OptionalDouble newPerSecond, int entryCount, DoubleSupplier phase, long nowMillis) {
        if (newPerSecond.isEmpty()) {
            share = Optional.empty();
        } else if (share.isPresent()) {
            share.get().share(newPerSecond.getAsDouble(), entryCount, nowMillis);
        } else {
            share = Optional.of(SharedRate.of(newPerSecond.getAsDouble(), entryCount, phase.getAsDouble(), nowMillis));
        }
        if (!newPerSecond.equals(announcedPerSecond)) {
            announcedPerSecond = newPerSecond;
            LOG.log(
                    System.Logger.Level.INFO,
                    "forward: replica limit id={0} per_s={1} entries={2}",
                    replica,
                    newPerSecond.isPresent() ? Double.toString(newPerSecond.getAsDouble()) : "none",
                    entryCount);
        }
    }

    /** How long until this entry may send another request; 0 if it may now. */
    long waitMillis(long nowMillis) {
        return share.map(rate -> rate.waitMillis(nowMillis)).orElse(0L);
    }

    void sent(long nowMillis) {
        share.ifPresent(rate -> rate.sent(nowMillis));
    }
}
