package io.waxwingquay.permit;

import io.waxwingquay.common.Clock;
import io.waxwingquay.permit.Permits.Limit;
import io.waxwingquay.transport.generated.PermitAnswer;
import io.waxwingquay.transport.generated.PermitRequest;
import io.waxwingquay.transport.generated.PermitReturn;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Lends the permits homed on one replica: slot i of a limit is homed on replica i mod replicas.
 *
 * <p>A permit is lent for a lease by the monotonic clock and comes back by return or by the lease's end. A home keeps
 * nothing on disk, so a restarted one does not know what its predecessor lent: it grants nothing for one longest
 * lease, after which all of that has ended. A home that was paused may meanwhile have been replaced, and the
 * replacement lends the same slots: seen from outside, more permits are out than the limit. So a home that notices
 * a gap in its own heartbeat grants nothing for one lease either, within which membership tells it that it is
 * superseded.
 */
public final class PermitLender {

    private final Clock clock;
    private final long maxLeaseMillis;
    private final long maxHeartbeatGapMillis;
    private final Map<Limit, Pool> pools = new EnumMap<>(Limit.class);
    private Slots slots;
    private long suspendedUntilMillis;
    private long lastHeartbeatMillis;
    private boolean isSuperseded;

    /**
     * A home that starts now, and so is quiet for one lease.
     *
     * @param clock the time; leases are by its monotonic part.
     * @param maxLeaseMillis the longest lease granted.
     * @param maxHeartbeatGapMillis the longest gap between heartbeats that is no pause.
     * @param slots which slots are homed here.
     */
    public PermitLender(Clock clock, long maxLeaseMillis, long maxHeartbeatGapMillis, Slots slots) {
        this.clock = clock;
        this.maxLeaseMillis = maxLeaseMillis;
        this.maxHeartbeatGapMillis = maxHeartbeatGapMillis;
        this.slots = slots;
        this.lastHeartbeatMillis = clock.monotonicMillis();
        this.suspendedUntilMillis = lastHeartbeatMillis + maxLeaseMillis;
        Arrays.stream(Limit.values()).forEach(limit -> pools.put(limit, new Pool(lastHeartbeatMillis)));
    }

    /** To be called several times within the pause limit, so that a pause of this process shows as a gap. */
    public synchronized void heartbeat() {
        recordHeartbeat();
    }

    /** Stops granting for good, once membership shows a newer side in this replica's place. */
    public synchronized void supersede() {
        isSuperseded = true;
    }

    /**
     * Takes the numbers of a new bundle. A slot may have moved from another home that still has it lent, so a
     * change is followed by a quiet lease.
     *
     * @param newSlots the slots homed here from now on.
     */
    public synchronized void configure(Slots newSlots) {
        if (!newSlots.equals(slots)) {
            slots = newSlots;
            suspendGrants(recordHeartbeat());
        }
    }

    /**
     * Lends a permit, or extends it when the same permit is still out.
     *
     * @param request what is asked; the lease is cut to the longest one.
     * @return whether it was granted, else when to ask again.
     */
    public synchronized PermitAnswer borrow(PermitRequest request) {
        long nowMillis = recordHeartbeat();
        Optional<Limit> limit = limitNamed(request.getLimit());
        if (limit.isEmpty() || isSuperseded) {
            return new PermitAnswer(false, maxLeaseMillis);
        }
        if (nowMillis < suspendedUntilMillis) {
            return new PermitAnswer(false, suspendedUntilMillis - nowMillis);
        }
        long leaseMillis = Math.max(0, Math.min(request.getLeaseMillis(), maxLeaseMillis));
        return pools.get(limit.get())
                .lend(
                        request.getPermitId(),
                        nowMillis,
                        leaseMillis,
                        slots.assignedSlots(limit.get()),
                        slots.startsPerSecond(limit.get()));
    }

    /**
     * Takes a permit back. A repeated return changes nothing.
     *
     * @param request which permit.
     * @return whether it was out.
     */
    public synchronized boolean returnPermit(PermitReturn request) {
        recordHeartbeat();
        return limitNamed(request.getLimit())
                .map(limit -> pools.get(limit).leaseEndMillis.remove(request.getPermitId()) != null)
                .orElse(false);
    }

    /**
     * What is lent now, for dumps.
     *
     * @param limit the limit.
     * @return permits whose lease has not ended.
     */
    public synchronized int countLent(Limit limit) {
        Pool pool = pools.get(limit);
        return pool == null ? 0 : pool.countLent(clock.monotonicMillis());
    }

    private long recordHeartbeat() {
        long nowMillis = clock.monotonicMillis();
        if (nowMillis - lastHeartbeatMillis > maxHeartbeatGapMillis) {
            suspendGrants(nowMillis);
        }
        lastHeartbeatMillis = nowMillis;
        return nowMillis;
    }

    private void suspendGrants(long nowMillis) {
        suspendedUntilMillis = Math.max(suspendedUntilMillis, nowMillis + maxLeaseMillis);
    }

    private static Optional<Limit> limitNamed(String name) {
        return Arrays.stream(Limit.values())
                .filter(limit -> limit.name().equals(name))
                .findFirst();
    }

    /**
     * The slots homed on one replica.
     *
     * @param replica this replica's number.
     * @param replicas how many replicas the service has.
     * @param weightLoadsAtOnce the service's limit of weight loads.
     * @param weightLoadsPerSecond the service's limit of weight loads started a second; 0 for none.
     * @param adapterLoadsAtOnce the service's limit of adapter loads.
     */
    public record Slots(
            int replica, int replicas, int weightLoadsAtOnce, double weightLoadsPerSecond, int adapterLoadsAtOnce) {

        /**
         * How many slots of a limit are homed here.
         *
         * @param limit the limit.
         * @return the number; 0 for most replicas when there are more replicas than slots.
         */
        public int assignedSlots(Limit limit) {
            int total = totalSlots(limit);
            return replica >= replicas ? 0 : total / replicas + (replica < total % replicas ? 1 : 0);
        }

        /**
         * The limit over all replicas.
         *
         * @param limit the limit.
         * @return the number of slots.
         */
        public int totalSlots(Limit limit) {
            return limit == Limit.WEIGHT_LOADS ? weightLoadsAtOnce : adapterLoadsAtOnce;
        }

        /**
         * This home's share of the rate of starts: the same for each slot.
         *
         * @param limit the limit.
         * @return starts a second, or infinity where no rate is set.
         */
        public double startsPerSecond(Limit limit) {
            boolean isLimited = limit == Limit.WEIGHT_LOADS && weightLoadsPerSecond > 0 && weightLoadsAtOnce > 0;
            return isLimited
                    ? weightLoadsPerSecond * assignedSlots(limit) / weightLoadsAtOnce
                    : Double.POSITIVE_INFINITY;
        }
    }

    /** What is out of one limit, and the token bucket of its starts, which holds at most one token. */
    private static final class Pool {

        private static final double MILLIS_PER_SECOND = 1000.0;
        private static final long RETRY_AFTER_MILLIS = 50;

        private final Map<String, Long> leaseEndMillis = new HashMap<>();
        private long nextStartMillis;

        private Pool(long nowMillis) {
            this.nextStartMillis = nowMillis;
        }

        int countLent(long nowMillis) {
            return (int) leaseEndMillis.values().stream()
                    .filter(endMillis -> endMillis > nowMillis)
                    .count();
        }

        PermitAnswer lend(String permitId, long nowMillis, long leaseMillis, int slots, double startsPerSecond) {
            leaseEndMillis.values().removeIf(endMillis -> endMillis <= nowMillis);
            if (leaseEndMillis.containsKey(permitId)) {
                leaseEndMillis.merge(permitId, nowMillis + leaseMillis, Math::max);
                return new PermitAnswer(true, 0);
            }
            if (leaseEndMillis.size() >= slots) {
                return new PermitAnswer(false, RETRY_AFTER_MILLIS);
            }
            if (nowMillis < nextStartMillis) {
                return new PermitAnswer(false, nextStartMillis - nowMillis);
            }
            nextStartMillis = nowMillis + (long) Math.ceil(MILLIS_PER_SECOND / startsPerSecond);
            leaseEndMillis.put(permitId, nowMillis + leaseMillis);
            return new PermitAnswer(true, 0);
        }
    }
}
