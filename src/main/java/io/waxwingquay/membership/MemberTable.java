package io.waxwingquay.membership;

import io.waxwingquay.common.Clock;
import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SideState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * The side records that this process knows. Safe for concurrent use; snapshots are immutable.
 *
 * <p><b>Merging.</b> The record with the higher (epoch, version) wins. LEAVING is sticky within an epoch, even if a
 * stale list or rumour says SERVING; only a higher epoch, which belongs to a restarted process, resets it. GONE is
 * sticky within a version: only the side itself can publish a higher version, which proves that it is alive.
 *
 * <p><b>Expiry.</b> A record becomes GONE when its VM has been unlisted <em>and</em> unresponsive for the whole expiry
 * time. Being unlisted is not enough, because the list lags and may not show a new VM yet. Being unresponsive is not
 * enough, because a broken link or a partition between regions looks the same while both ends are alive; an
 * unresponsive side is only avoided and probed again. While the list is unavailable no VM counts as unlisted, so no
 * record expires: an outage of the table service must not empty the membership. A GONE record is kept for a while as a
 * tombstone, so that a peer's stale record does not revive the side.
 */
public final class MemberTable implements Membership {

    private final Clock clock;
    private final Timing timing;
    // Sorted, so that a snapshot is a copy in order: sorting 2,400 sides after each change cost more than the rest of
    // gossip together.
    private final Map<String, Member> members = new TreeMap<>();
    private final List<Consumer<SideRecord>> listeners = new CopyOnWriteArrayList<>();
    private final BucketHashes hashes = new BucketHashes();
    private volatile List<Side> snapshot = List.of();
    private volatile boolean isSnapshotStale;

    /**
     * Creates an empty table.
     *
     * @param clock the clock; only its monotonic time is used.
     * @param timing the expiry, retention and probe times.
     */
    public MemberTable(Clock clock, Timing timing) {
        this.clock = clock;
        this.timing = timing;
    }

    /**
     * Adds a listener that is notified of every record changed in this process, without locks held.
     *
     * @param listener accepts the changed record, which it must not modify.
     */
    public void onChange(Consumer<SideRecord> listener) {
        listeners.add(listener);
    }

    /** {@inheritDoc} */
    @Override
    public List<Side> sides() {
        refreshSnapshot();
        return snapshot;
    }

    /** {@inheritDoc} */
    @Override
    public synchronized Optional<Side> side(String sideId) {
        return Optional.ofNullable(members.get(sideId))
                .filter(member -> !member.isGone())
                .map(Member::toSide);
    }

    /** {@inheritDoc} */
    @Override
    public void publish(SideRecord record) {
        merge(List.of(record));
    }

    /** {@inheritDoc} */
    @Override
    public void noteLeaving(String sideId, long epoch) {
        List<SideRecord> changed = new ArrayList<>();
        synchronized (this) {
            Member known = members.get(sideId);
            if (known != null && known.record().getEpoch() == epoch) {
                SideRecord leaving = known.record().deepCopy().setState(SideState.LEAVING);
                store(leaving).ifPresent(changed::add);
            }
        }
        notifyListeners(changed);
    }

    /** {@inheritDoc} */
    @Override
    public synchronized void noteReached(String sideId, long epoch, boolean reached) {
        Member known = members.get(sideId);
        if (known == null || known.record().getEpoch() != epoch) {
            return;
        }
        Member next = reached ? known.asReachable() : known.asUnresponsive(clock.monotonicMillis());
        members.put(sideId, next);
        isSnapshotStale |= known.isReachable() != next.isReachable();
    }

    /**
     * Merges records received from others.
     *
     * @param records the records; malformed ones are ignored.
     * @return the records that changed in this process, in their merged form.
     */
    public List<SideRecord> merge(Collection<SideRecord> records) {
        List<SideRecord> changed = new ArrayList<>();
        synchronized (this) {
            records.stream().filter(MemberTable::isComplete).forEach(record -> store(record)
                    .ifPresent(changed::add));
        }
        notifyListeners(changed);
        return changed;
    }

    /**
     * Notes which VMs the platform's list names, after the list was read.
     *
     * @param names the names of all listed side VMs.
     */
    public synchronized void noteListed(Set<String> names) {
        long nowMillis = clock.monotonicMillis();
        members.replaceAll((id, member) -> names.contains(id) ? member.asListed() : member.asUnlisted(nowMillis));
    }

    /** Notes that the list was not read, so that time without the list never counts as unlisted. */
    public synchronized void noteListUnavailable() {
        members.replaceAll((id, member) -> member.asListed());
    }

    /**
     * Marks expired records as GONE and removes GONE records whose retention has ended. To be called about once per
     * second.
     *
     * @return the names of the sides that became GONE.
     */
    public List<String> expire() {
        List<SideRecord> changed = new ArrayList<>();
        synchronized (this) {
            long nowMillis = clock.monotonicMillis();
            for (Member member : List.copyOf(members.values())) {
                if (member.isExpired(nowMillis, timing)) {
                    store(member.record().deepCopy().setState(SideState.GONE)).ifPresent(changed::add);
                } else if (member.isForgettable(nowMillis, timing)) {
                    members.remove(member.record().getSideId());
                }
            }
        }
        notifyListeners(changed);
        return changed.stream().map(SideRecord::getSideId).toList();
    }

    /**
     * Returns the unresponsive sides that are due for a probe. Each is returned once per probe interval.
     *
     * @return the sides; the caller pings them and notes the outcome.
     */
    public synchronized List<Side> dueForProbe() {
        long nowMillis = clock.monotonicMillis();
        List<Member> due = members.values().stream()
                .filter(member -> !member.isReachable() && !member.isGone())
                .filter(member -> nowMillis - member.lastProbeMillis() >= timing.probeIntervalMillis())
                .toList();
        due.forEach(member -> members.put(member.record().getSideId(), member.asProbed(nowMillis)));
        return due.stream().map(Member::toSide).toList();
    }

    /**
     * Returns the current record of a side.
     *
     * @param sideId the side's name.
     * @return the record, also if it is GONE; not to be modified.
     */
    synchronized Optional<SideRecord> record(String sideId) {
        return Optional.ofNullable(members.get(sideId)).map(Member::record);
    }

    /**
     * Returns all records in some buckets, including GONE ones.
     *
     * @param buckets the buckets.
     * @return the records; not to be modified.
     */
    synchronized List<SideRecord> recordsIn(Collection<Integer> buckets) {
        List<SideRecord> found = new ArrayList<>();
        members.forEach((id, member) -> {
            if (buckets.contains(BucketHashes.bucketOf(id))) {
                found.add(member.record());
            }
        });
        return found;
    }

    /**
     * Returns the hash of each bucket.
     *
     * @return {@link BucketHashes#BUCKETS} hashes.
     */
    synchronized List<Long> bucketHashes() {
        return hashes.asList();
    }

    /**
     * Returns one hash over all buckets.
     *
     * @return the hash.
     */
    synchronized long combinedHash() {
        return hashes.combined();
    }

    /**
     * Counts the sides that are known and not GONE.
     *
     * @return the number of sides.
     */
    public int size() {
        return sides().size();
    }

    private Optional<SideRecord> store(SideRecord incoming) {
        Member known = members.get(incoming.getSideId());
        if (known == null) {
            return incoming.getState() == SideState.GONE
                    ? Optional.empty()
                    : Optional.of(replace(null, Member.of(incoming, clock.monotonicMillis())));
        }
        return Records.join(known.record(), incoming)
                .map(joined -> replace(known, known.updated(joined, clock.monotonicMillis())));
    }

    private SideRecord replace(Member known, Member next) {
        if (known != null) {
            hashes.toggle(known.record());
        }
        hashes.toggle(next.record());
        members.put(next.record().getSideId(), next);
        isSnapshotStale = true;
        return next.record();
    }

    private void notifyListeners(List<SideRecord> changed) {
        changed.forEach(record -> listeners.forEach(listener -> listener.accept(record)));
    }

    private void refreshSnapshot() {
        if (!isSnapshotStale) {
            return;
        }
        synchronized (this) {
            isSnapshotStale = false;
            List<Side> next = new ArrayList<>(members.size());
            for (Member member : members.values()) {
                if (!member.isGone()) {
                    next.add(member.toSide());
                }
            }
            snapshot = Collections.unmodifiableList(next);
        }
    }

    private static boolean isComplete(SideRecord record) {
        return record.getSideId() != null
                && record.getHost() != null
                && record.getDataCentre() != null
                && record.getServiceName() != null
                && record.getKind() != null
                && record.getState() != null;
    }

    /**
     * The expiry, retention and probe times.
     *
     * @param expiryMillis how long a side has to be unlisted and unresponsive to become GONE.
     * @param goneRetentionMillis how long a GONE record is kept as a tombstone.
     * @param probeIntervalMillis the interval between probes of an unresponsive side.
     */
    public record Timing(long expiryMillis, long goneRetentionMillis, long probeIntervalMillis) {

        /** Sides expire after 20 s, GONE records are kept for 10 min, unresponsive sides are probed every second. */
        public static final Timing DEFAULT = new Timing(20_000, 600_000, 1_000);
    }
}
