package io.waxwingquay.membership;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.transport.generated.ItemRecord;
import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SideState;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A side's record together with this process's own observations of the side.
 *
 * @param record the record; not changed after it is stored.
 * @param side the record in the form that routing uses.
 * @param wasLeaving whether this epoch was ever LEAVING; a record that became GONE no longer shows it.
 * @param changedMillis when the record last changed in this process.
 * @param unresponsiveSinceMillis since when the side has been unresponsive, or {@link #NEVER}.
 * @param unlistedSinceMillis since when the side has been missing from the platform's list, or {@link #NEVER}.
 * @param lastProbeMillis when the side was last probed while unresponsive.
 */
record Member(
        SideRecord record,
        Side side,
        boolean wasLeaving,
        long changedMillis,
        long unresponsiveSinceMillis,
        long unlistedSinceMillis,
        long lastProbeMillis) {

    static final long NEVER = Long.MIN_VALUE;

    static Member of(SideRecord record, long nowMillis) {
        SideRecord own = record.deepCopy();
        return new Member(own, sideOf(own, true), isLeaving(own), nowMillis, NEVER, NEVER, NEVER);
    }

    /** Updates the record. A new epoch is another incarnation, so observations of the previous one are discarded. */
    Member updated(SideRecord next, long nowMillis) {
        if (next.getEpoch() != record.getEpoch()) {
            return of(next, nowMillis);
        }
        // A higher version proves that the side is alive, but not that this process can reach it, so the observations
        // of reachability and listing are kept. LEAVING stays sticky even if the record was GONE in between.
        if (wasLeaving && next.getState().getValue() < SideState.LEAVING.getValue()) {
            next.setState(SideState.LEAVING);
        }
        return new Member(
                next,
                sideOf(next, isReachable()),
                wasLeaving || isLeaving(next),
                nowMillis,
                unresponsiveSinceMillis,
                unlistedSinceMillis,
                lastProbeMillis);
    }

    Member asReachable() {
        return isReachable() ? this : withUnresponsiveSince(NEVER, NEVER);
    }

    Member asUnresponsive(long nowMillis) {
        return withUnresponsiveSince(isReachable() ? nowMillis : unresponsiveSinceMillis, nowMillis);
    }

    Member asProbed(long nowMillis) {
        return withUnresponsiveSince(unresponsiveSinceMillis, nowMillis);
    }

    Member asListed() {
        return unlistedSinceMillis == NEVER ? this : withUnlistedSince(NEVER);
    }

    Member asUnlisted(long nowMillis) {
        return unlistedSinceMillis == NEVER ? withUnlistedSince(nowMillis) : this;
    }

    boolean isReachable() {
        return unresponsiveSinceMillis == NEVER;
    }

    boolean isGone() {
        return record.getState() == SideState.GONE;
    }

    boolean isExpired(long nowMillis, MemberTable.Timing timing) {
        return !isGone()
                && !isReachable()
                && unlistedSinceMillis != NEVER
                && nowMillis - Math.max(unresponsiveSinceMillis, unlistedSinceMillis) >= timing.expiryMillis();
    }

    boolean isForgettable(long nowMillis, MemberTable.Timing timing) {
        return isGone() && nowMillis - changedMillis >= timing.goneRetentionMillis();
    }

    Side toSide() {
        return side;
    }

    private Member withUnresponsiveSince(long sinceMillis, long lastProbeMillis) {
        boolean reachable = sinceMillis == NEVER;
        Side next = reachable == side.reachable() ? side : sideOf(record, reachable);
        return new Member(record, next, wasLeaving, changedMillis, sinceMillis, unlistedSinceMillis, lastProbeMillis);
    }

    private Member withUnlistedSince(long sinceMillis) {
        return new Member(
                record, side, wasLeaving, changedMillis, unresponsiveSinceMillis, sinceMillis, lastProbeMillis);
    }

    private static boolean isLeaving(SideRecord record) {
        return record.getState() == SideState.LEAVING;
    }

    private static Side sideOf(SideRecord record, boolean reachable) {
        List<ItemRecord> items = record.getItems() == null ? List.of() : record.getItems();
        Set<String> resident = new HashSet<>();
        Map<String, Double> demand = new HashMap<>();
        for (ItemRecord item : items) {
            if (item.isResident()) {
                resident.add(item.getItem());
            }
            if (item.getDemandStep() > 0) {
                demand.put(item.getItem(), DemandStep.unitsPerSecond(item.getDemandStep()));
            }
        }
        return new Side(
                record.getSideId(),
                new HostPort(record.getHost(), record.getPort()),
                record.getDataCentre(),
                record.getServiceName(),
                record.getReplica(),
                record.getKind(),
                record.getEpoch(),
                record.getVersion(),
                record.getState(),
                record.getCapacityBytes(),
                Set.copyOf(resident),
                Map.copyOf(demand),
                reachable);
    }
}
