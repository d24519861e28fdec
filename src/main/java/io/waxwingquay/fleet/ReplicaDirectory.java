package io.waxwingquay.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Directory of the live replicas, built from the replica list in the platform's store.
 *
 * <p>Failure: while the store is unreachable or has dropped its history, rows expire although their replicas are
 * alive; they reappear within about two seconds of the store's recovery. Symptom if each missing row counted as a
 * departure: all replicas are removed at once and every request is rejected. So an unlisted replica is removed only
 * once {@link #UNLISTED_GRACE_MILLIS} have passed since the recovery; at other times it is removed at once. The
 * listener is told immediately that a row is unlisted, since the replica may have left.
 */
public final class ReplicaDirectory implements TableWatch.Listener<ReplicaRecord> {

    /** How long rows that expired in an outage may take to reappear: the platform's two seconds and a margin. */
    public static final long UNLISTED_GRACE_MILLIS = 2_300L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.fleet");

    private final LongSupplier clockMillis;
    private final Listener listener;
    private final Map<String, ReplicaRecord> recordsById = new HashMap<>();
    private final Map<String, Long> unlistedSinceMillis = new HashMap<>();
    private boolean reachable = true;
    private boolean snapshotReceived;
    private long graceUntilMillis = Long.MIN_VALUE;

    /**
     * Creates an empty directory.
     *
     * @param clockMillis the monotonic clock.
     * @param listener receives the changes.
     */
    public ReplicaDirectory(LongSupplier clockMillis, Listener listener) {
        this.clockMillis = clockMillis;
        this.listener = listener;
    }

    /**
     * Returns whether the whole list was read at least once.
     *
     * @return whether a replica that is absent here is unknown to the platform.
     */
    public boolean isComplete() {
        return snapshotReceived;
    }

    /**
     * Returns the replicas.
     *
     * @return all replicas that are assumed to exist, including draining ones.
     */
    public Collection<ReplicaRecord> replicas() {
        return List.copyOf(recordsById.values());
    }

    /**
     * Returns the replicas that are unlisted but not removed yet.
     *
     * @return their ids.
     */
    public Set<String> unlistedIds() {
        return Set.copyOf(unlistedSinceMillis.keySet());
    }

    /** {@inheritDoc} */
    @Override
    public void onSnapshot(WatchedTable.Page<ReplicaRecord> page) {
        snapshotReceived = true;
        Set<String> present = new HashSet<>();
        page.rows().forEach(row -> row.value().ifPresent(record -> {
            present.add(record.id());
            addOrUpdate(record);
        }));
        new ArrayList<>(recordsById.keySet())
                .stream().filter(id -> !present.contains(id)).forEach(this::markUnlisted);
        removeExpired();
    }

    /** {@inheritDoc} */
    @Override
    public void onChanges(WatchedTable.Page<ReplicaRecord> page) {
        page.rows().forEach(row -> row.value().ifPresentOrElse(this::addOrUpdate, () -> markUnlisted(row.key())));
        removeExpired();
    }

    /** {@inheritDoc} */
    @Override
    public void onReachabilityChanged(boolean nowReachable) {
        reachable = nowReachable;
        graceUntilMillis = clockMillis.getAsLong() + UNLISTED_GRACE_MILLIS;
    }

    /** {@inheritDoc} */
    @Override
    public void onHistoryLost() {
        graceUntilMillis = clockMillis.getAsLong() + UNLISTED_GRACE_MILLIS;
    }

    /**
     * Removes unlisted replicas, unless the store is unreachable or the grace period after its recovery has not passed.
     */
    public void removeExpired() {
        long nowMillis = clockMillis.getAsLong();
        if (!reachable) {
            return;
        }
        List<String> expired = unlistedSinceMillis.entrySet().stream()
                .filter(entry -> nowMillis >= Math.max(entry.getValue(), graceUntilMillis))
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::remove);
    }

    private void addOrUpdate(ReplicaRecord record) {
        boolean wasUnlisted = unlistedSinceMillis.remove(record.id()) != null;
        if (wasUnlisted) {
            LOG.log(System.Logger.Level.INFO, "fleet: replica listed again id={0}", record.id());
        }
        ReplicaRecord before = recordsById.put(record.id(), record);
        if (wasUnlisted || !record.equals(before)) {
            listener.onListed(record, Optional.ofNullable(before));
        }
    }

    private void markUnlisted(String id) {
        long nowMillis = clockMillis.getAsLong();
        if (recordsById.containsKey(id) && unlistedSinceMillis.putIfAbsent(id, nowMillis) == null) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "fleet: replica missing id={0} reachable={1} doubtful_ms={2}",
                    id,
                    reachable,
                    Math.max(nowMillis, graceUntilMillis) - nowMillis);
            listener.onUnlisted(recordsById.get(id));
        }
    }

    private void remove(String id) {
        unlistedSinceMillis.remove(id);
        ReplicaRecord removed = recordsById.remove(id);
        if (removed != null) {
            LOG.log(System.Logger.Level.INFO, "fleet: replica gone id={0} service={1}", id, removed.service());
            listener.onRemoved(removed);
        }
    }

    /** Receives changes of the directory. */
    public interface Listener {

        /**
         * A replica was added, its record changed, or it is listed again.
         *
         * @param record the current record.
         * @param before the previous record, if the replica was known.
         */
        void onListed(ReplicaRecord record, Optional<ReplicaRecord> before);

        /**
         * A replica is unlisted. It is either removed soon or listed again.
         *
         * @param record its last record.
         */
        void onUnlisted(ReplicaRecord record);

        /**
         * A replica was removed.
         *
         * @param record its last record.
         */
        void onRemoved(ReplicaRecord record);
    }
}
