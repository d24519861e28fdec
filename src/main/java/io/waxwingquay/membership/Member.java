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
 * A side's record with what this process saw of it itself.
 *
 * @param record the record; not changed after it is stored.
 * @param side the record as routing sees it.
 * @param hasLeft whether this epoch was ever seen leaving; GONE hides that in the record.
 * @param changedMillis when the record last changed here.
 * @param silentSinceMillis since when it has not answered, or {@link #NEVER}.
 * @param absentSinceMillis since when the platform's list lacks it, or {@link #NEVER}.
 * @param lastTriedMillis when it was last tried while silent.
 */
record Member(
        SideRecord record,
        Side side,
        boolean hasLeft,
        long changedMillis,
        long silentSinceMillis,
        long absentSinceMillis,
        long lastTriedMillis) {

    static final long NEVER = Long.MIN_VALUE;

    static Member of(SideRecord record, long nowMillis) {
        SideRecord own = record.deepCopy();
        return new Member(own, sideOf(own, true), isLeaving(own), nowMillis, NEVER, NEVER, NEVER);
    }

    /** A new epoch is another process: what was seen of the old one says nothing about it. */
    Member updated(SideRecord next, long nowMillis) {
        if (next.getEpoch() != record.getEpoch()) {
            return of(next, nowMillis);
        }
        // A higher version was published by a living process, though perhaps not one that this process can reach.
        if (hasLeft && next.getState().getValue() < SideState.LEAVING.getValue()) {
            next.setState(SideState.LEAVING);
        }
        return new Member(
                next,
                sideOf(next, isReachable()),
                hasLeft || isLeaving(next),
                nowMillis,
                silentSinceMillis,
                absentSinceMillis,
                lastTriedMillis);
    }

    Member answered() {
        return isReachable() ? this : withSilence(NEVER, NEVER);
    }

    Member silent(long nowMillis) {
        return withSilence(isReachable() ? nowMillis : silentSinceMillis, nowMillis);
    }

    Member tried(long nowMillis) {
        return withSilence(silentSinceMillis, nowMillis);
    }

    Member listed() {
        return absentSinceMillis == NEVER ? this : withAbsence(NEVER);
    }

    Member absent(long nowMillis) {
        return absentSinceMillis == NEVER ? withAbsence(nowMillis) : this;
    }

    boolean isReachable() {
        return silentSinceMillis == NEVER;
    }

    boolean isGone() {
        return record.getState() == SideState.GONE;
    }

    boolean isExpired(long nowMillis, MemberTable.Timing timing) {
        return !isGone()
                && !isReachable()
                && absentSinceMillis != NEVER
                && nowMillis - Math.max(silentSinceMillis, absentSinceMillis) >= timing.expiryMillis();
    }

    boolean isForgettable(long nowMillis, MemberTable.Timing timing) {
        return isGone() && nowMillis - changedMillis >= timing.goneRetentionMillis();
    }

    Side toSide() {
        return side;
    }

    private Member withSilence(long sinceMillis, long triedMillis) {
        boolean reachable = sinceMillis == NEVER;
        Side next = reachable == side.reachable() ? side : sideOf(record, reachable);
        return new Member(record, next, hasLeft, changedMillis, sinceMillis, absentSinceMillis, triedMillis);
    }

    private Member withAbsence(long sinceMillis) {
        return new Member(record, side, hasLeft, changedMillis, silentSinceMillis, sinceMillis, lastTriedMillis);
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
