package io.waxwingquay.forward;

import io.waxwingquay.admission.SharedRateLimiter;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.DoubleSupplier;

/**
 * The limit that a replica's newest answer names, and this entry's part of it. An entry that was not told yet sends as if
 * there were none, and is told with its first answer.
 */
final class NamedLimit {

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private OptionalDouble perSecond = OptionalDouble.empty();
    private Optional<SharedRateLimiter> part = Optional.empty();

    /**
     * Takes in what an answer names.
     *
     * @param replica the replica's id, for logs.
     * @param named requests a second that it takes from all entries together; empty if it names none any more.
     * @param entries how many share it.
     * @param phase where in its cycle this entry begins, from 0 up to 1; drawn for each new limit.
     * @param nowMillis the steady time.
     */
    void named(String replica, OptionalDouble named, int entries, DoubleSupplier phase, long nowMillis) {
        if (named.isEmpty()) {
            part = Optional.empty();
        } else if (part.isPresent()) {
            part.get().reconfigure(named.getAsDouble(), entries, nowMillis);
        } else {
            part = Optional.of(SharedRateLimiter.of(named.getAsDouble(), entries, phase.getAsDouble(), nowMillis));
        }
        if (!named.equals(perSecond)) {
            perSecond = named;
            LOG.log(
                    System.Logger.Level.INFO,
                    "forward: replica limit id={0} per_s={1} entries={2}",
                    replica,
                    named.isPresent() ? Double.toString(named.getAsDouble()) : "none",
                    entries);
        }
    }

    /** How long until this entry may send another request; 0 if it may now. */
    long waitMillis(long nowMillis) {
        return part.map(rate -> rate.waitMillis(nowMillis)).orElse(0L);
    }

    void sent(long nowMillis) {
        part.ifPresent(rate -> rate.recordSent(nowMillis));
    }
}
