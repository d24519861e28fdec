package io.waxwingquay.forward;

import io.waxwingquay.admission.SharedRateLimiter;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.DoubleSupplier;

/**
 * The rate limit that the latest response of a replica announced, and the share of this entry. An entry that has not
 * received a response yet sends without a limit, and learns of it from the first one.
 */
final class ReplicaRateLimit {

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private OptionalDouble announcedPerSecond = OptionalDouble.empty();
    private Optional<SharedRateLimiter> share = Optional.empty();

    /**
     * Applies what a response announces.
     *
     * @param replica the id of the replica, for logs.
     * @param newPerSecond the requests per second that it accepts from all entries together; empty if it announces no
     *     limit any more.
     * @param entryCount the number of entries that share the limit.
     * @param phase the point in its cycle at which this entry begins, from 0 up to 1; drawn for each new limit.
     * @param nowMillis the monotonic time.
     */
    void announced(String replica, OptionalDouble newPerSecond, int entryCount, DoubleSupplier phase, long nowMillis) {
        if (newPerSecond.isEmpty()) {
            share = Optional.empty();
        } else if (share.isPresent()) {
            share.get().reconfigure(newPerSecond.getAsDouble(), entryCount, nowMillis);
        } else {
            share = Optional.of(
                    SharedRateLimiter.of(newPerSecond.getAsDouble(), entryCount, phase.getAsDouble(), nowMillis));
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

    /** Returns how long until this entry may send another request; 0 if it may now. */
    long waitMillis(long nowMillis) {
        return share.map(rate -> rate.waitMillis(nowMillis)).orElse(0L);
    }

    void sent(long nowMillis) {
        share.ifPresent(rate -> rate.recordSent(nowMillis));
    }
}
