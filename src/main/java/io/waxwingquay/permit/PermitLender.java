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
 * Lends the permits assigned to one replica: slot i of a limit is assigned to replica i mod replicas.
 *
 * <p>A permit is lent for a lease, measured by the monotonic clock, and becomes free when it is returned or its lease
 * ends. A lender stores nothing on disk, so a restarted one does not know what its previous incarnation lent: it grants
 * nothing for one longest lease, after which all those leases have ended. A paused lender may have been replaced
 * meanwhile, and if both lent the same slots, more permits would be out than the limit allows. A lender that notices a
 * gap in its own heartbeat therefore also grants nothing for one longest lease, within which membership reports that it
 * is superseded.
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
     * Creates a lender, which grants nothing for one longest lease.
     *
     * @param clock the clock; leases use its monotonic time.
     * @param maxLeaseMillis the longest lease granted.
     * @param maxHeartbeatGapMillis the longest gap between heartbeats that does not count as a pause.
     * @param slots the slots assigned to this replica.
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

    /**
     * Records a heartbeat; must be called several times within the longest gap, so that a pause of this process shows
     * as a longer one.
     */
    public synchronized void heartbeat() {
        recordHeartbeat();
    }

    /** Stops granting for good, once membership shows a newer side for this replica. */
    public synchronized void supersede() {
        isSuperseded = true;
    }

    /**
     * Applies the limits of a new bundle. A slot may have moved here from another lender that still has it lent, so a
     * change suspends grants for one longest lease.
     *
     * @param newSlots the slots assigned to this replica from now on.
     */
    public synchronized void configure(Slots newSlots) {
        if (!newSlots.equals(slots)) {
            slots = newSlots;
            suspendGrants(recordHeartbeat());
        }
    }

    /**
     * Lends a permit, or extends the lease if the same permit is still lent.
     *
     * @param request the request; its lease is cut to the longest one.
     * @return whether the permit was granted, else the retry-after delay.
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
     * Takes a permit back. A repeated return has no effect.
     *
     * @param request the permit.
     * @return whether it was lent.
     */
    public synchronized boolean returnPermit(PermitReturn request) {
        recordHeartbeat();
        return limitNamed(request.getLimit())
                .map(limit -> pools.get(limit).leaseEndMillisByPermitId.remove(request.getPermitId()) != null)
                .orElse(false);
    }

    /**
     * Counts the permits lent now, for state dumps.
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
     * The slots assigned to one replica.
     *
     * @param replica this replica's number.
     * @param replicas the number of replicas of the service.
     * @param weightLoadsAtOnce the service's limit of concurrent weight loads.
     * @param weightLoadsPerSecond the service's limit of weight loads started per second; 0 for none.
     * @param adapterLoadsAtOnce the service's limit of concurrent adapter loads.
     */
    public record Slots(
            int replica, int replicas, int weightLoadsAtOnce, double weightLoadsPerSecond, int adapterLoadsAtOnce) {

        /**
         * Returns how many slots of a limit are assigned to this replica.
         *
         * @param limit the limit.
         * @return the number of slots; 0 for most replicas when there are more replicas than slots.
         */
        public int assignedSlots(Limit limit) {
            int total = totalSlots(limit);
            return replica >= replicas ? 0 : total / replicas + (replica < total % replicas ? 1 : 0);
        }

        /**
         * Returns the limit over all replicas.
         *
         * @param limit the limit.
         * @return the number of slots.
         */
        public int totalSlots(Limit limit) {
            return limit == Limit.WEIGHT_LOADS ? weightLoadsAtOnce : adapterLoadsAtOnce;
        }

        /**
         * Returns this replica's share of the start rate, in proportion to its slots.
         *
         * @param limit the limit.
         * @return starts per second, or infinity where no rate is set.
         */
        public double startsPerSecond(Limit limit) {
            boolean isLimited = limit == Limit.WEIGHT_LOADS && weightLoadsPerSecond > 0 && weightLoadsAtOnce > 0;
            return isLimited
                    ? weightLoadsPerSecond * assignedSlots(limit) / weightLoadsAtOnce
                    : Double.POSITIVE_INFINITY;
        }
    }

    /** The permits lent of one limit, and the token bucket of their starts, which holds at most one token. */
    private static final class Pool {

        private static final double MILLIS_PER_SECOND = 1000.0;
        private static final long RETRY_AFTER_MILLIS = 50;

        private final Map<String, Long> leaseEndMillisByPermitId = new HashMap<>();
        private long nextStartMillis;

        private Pool(long nowMillis) {
            this.nextStartMillis = nowMillis;
        }

        int countLent(long nowMillis) {
            return (int) leaseEndMillisByPermitId.values().stream()
                    .filter(endMillis -> endMillis > nowMillis)
                    .count();
        }

        PermitAnswer lend(String permitId, long nowMillis, long leaseMillis, int slots, double startsPerSecond) {
            leaseEndMillisByPermitId.values().removeIf(endMillis -> endMillis <= nowMillis);
            if (leaseEndMillisByPermitId.containsKey(permitId)) {
                leaseEndMillisByPermitId.merge(permitId, nowMillis + leaseMillis, Math::max);
                return new PermitAnswer(true, 0);
            }
            if (leaseEndMillisByPermitId.size() >= slots) {
                return new PermitAnswer(false, RETRY_AFTER_MILLIS);
            }
            if (nowMillis < nextStartMillis) {
                return new PermitAnswer(false, nextStartMillis - nowMillis);
            }
            nextStartMillis = nowMillis + (long) Math.ceil(MILLIS_PER_SECOND / startsPerSecond);
            leaseEndMillisByPermitId.put(permitId, nowMillis + leaseMillis);
            return new PermitAnswer(true, 0);
        }
    }
}
