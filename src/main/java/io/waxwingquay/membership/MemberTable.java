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
 * <p><b>Merging.</b> The higher (epoch, version) wins. LEAVING sticks to its epoch, whatever older list or rumour says
 * SERVING; only a higher epoch, which is a restarted process, ends it. GONE sticks to its version: only the side
 * itself can publish a higher one, and that proves that it lives.
 *
 * <p><b>Expiry.</b> A record becomes GONE when its VM has been absent from the platform's list <em>and</em> could not
 * be reached for the whole expiry. Absence alone is not enough, as the list lags and a new VM may not be on it yet.
 * Silence alone is not enough, as a cut link or a partition of regions looks the same and both ends live on; a silent
 * side is only avoided and tried again. With the list out nothing is absent, so nothing is dropped: an outage of the
 * table service may not empty the membership. GONE is kept for a while so that a peer's older record does not return.
 */
public final class MemberTable implements Membership {

    private final Clock clock;
    private final Timing timing;
    // Sorted, so that a snapshot is a copy in order: sorting 2,400 sides after each change cost more than all of
    // gossip.
    private final Map<String, Member> members = new TreeMap<>();
    private final List<Consumer<SideRecord>> listeners = new CopyOnWriteArrayList<>();
    private final BucketHashes hashes = new BucketHashes();
    private volatile List<Side> snapshot = List.of();
    private volatile boolean isSnapshotStale;

    /**
     * An empty table.
     *
     * @param clock the time; all durations are by its monotonic part.
     * @param timing expiries.
     */
    public MemberTable(Clock clock, Timing timing) {
        this.clock = clock;
        this.timing = timing;
    }

    /**
     * Adds a listener told of every record that changed here; called without locks held.
     *
     * @param listener takes the changed record, which it must not change.
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
     * Takes in records of others.
     *
     * @param records the records; malformed ones are passed over.
     * @return the records that changed here, as they now stand.
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
     * Takes in which VMs the platform's list names, if the list could be read.
     *
     * @param names the names of all side VMs listed.
     */
    public synchronized void noteListed(Set<String> names) {
        long nowMillis = clock.monotonicMillis();
        members.replaceAll((id, member) -> names.contains(id) ? member.asListed() : member.asUnlisted(nowMillis));
    }

    /** Notes that the list could not be read, so that time without it never counts as absence. */
    public synchronized void noteListUnavailable() {
        members.replaceAll((id, member) -> member.asListed());
    }

    /**
     * Marks expired records GONE, forgets old GONE ones and lets old silence lapse. To be called each second or so.
     *
     * @return the names that became GONE.
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
     * Silent sides that are due for another try. Each is returned once per retry interval.
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
     * One record as it stands.
     *
     * @param sideId the side's name.
     * @return the record, GONE ones too; not to be changed.
     */
    synchronized Optional<SideRecord> record(String sideId) {
        return Optional.ofNullable(members.get(sideId)).map(Member::record);
    }

    /**
     * All records of some buckets, GONE ones too.
     *
     * @param buckets the buckets.
     * @return the records; not to be changed.
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
     * The hash of each bucket.
     *
     * @return {@link BucketHashes#BUCKETS} hashes.
     */
    synchronized List<Long> bucketHashes() {
        return hashes.asList();
    }

    /**
     * One hash over all buckets.
     *
     * @return the hash.
     */
    synchronized long combinedHash() {
        return hashes.combined();
    }

    /**
     * How many sides are known and not gone.
     *
     * @return the number.
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
     * Expiries, all in milliseconds.
     *
     * @param expiryMillis absent and silent for this long makes a record GONE.
     * @param goneRetentionMillis how long a GONE record is remembered.
     * @param probeIntervalMillis a silent side is tried again after this.
     */
    public record Timing(long expiryMillis, long goneRetentionMillis, long probeIntervalMillis) {

        /** 20 s to GONE, remembered for 10 min, silent sides tried each second. */
        public static final Timing DEFAULT = new Timing(20_000, 600_000, 1_000);
    }
}
