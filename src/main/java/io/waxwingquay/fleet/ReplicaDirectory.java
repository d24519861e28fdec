package io.waxwingquay.fleet;

import io.waxwingquay.common.CallbackGuard;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Directory of the live replicas, built from the replica list in the platform's store.
 *
 * <p>Failure: while the store is unreachable or has dropped its history, rows expire although their replicas are
 * alive; they reappear within about two seconds of the store's recovery. Symptom if each missing row counted as a
 * departure: all replicas are removed at once and every request is rejected. So an unlisted replica is removed only
 * once {@link #UNLISTED_GRACE_MILLIS} have passed since the recovery; at other times it is removed at once. The
 * listener is told immediately that a row is unlisted, since the replica may have left.
 *
 * <p>A store that was restored from an older copy lists rows as they were then. Symptom if each were believed: requests
 * reach replicas that have left or said that they leave. So an incarnation that was draining stays draining, and neither
 * a removed incarnation nor the predecessor of a known one is listed by a row that is not newer than the last one known;
 * a replica that lives writes its row again, under a new version.
 */
public final class ReplicaDirectory implements TableWatch.Listener<ReplicaRecord> {

    /** How long rows that expired in an outage may take to reappear: the platform's two seconds and a margin. */
    public static final long UNLISTED_GRACE_MILLIS = 2_300L;

    /**
     * How long a removed replica is remembered: longer than a copy of the store is old and than a row stays listed whose
     * replica is gone.
     */
    private static final long DEPARTURE_RETENTION_MILLIS = 60_000L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.fleet");

    private final LongSupplier clockMillis;
    private final Listener listener;
    private final Map<String, Listed> listedById = new HashMap<>();
    private final Map<String, Departed> departedById = new HashMap<>();
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
        return listedById.values().stream().map(Listed::record).toList();
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
        page.forEachRow(row -> row.value().ifPresent(record -> {
            present.add(record.id());
            addOrUpdate(new Listed(record, row.number()));
        }));
        new ArrayList<>(listedById.keySet())
                .stream().filter(id -> !present.contains(id)).forEach(this::markUnlisted);
        removeExpired();
    }

    /** {@inheritDoc} */
    @Override
    public void onChanges(WatchedTable.Page<ReplicaRecord> page) {
        page.forEachRow(row -> row.value()
                .ifPresentOrElse(
                        record -> addOrUpdate(new Listed(record, row.number())), () -> markUnlisted(row.key())));
        removeExpired();
    }

    /** {@inheritDoc} */
    @Override
    public void onReachabilityChanged(boolean nowReachable) {
        reachable = nowReachable;
        graceUntilMillis = clockMillis.getAsLong() + UNLISTED_GRACE_MILLIS;
        listener.onFollowed(nowReachable);
    }

    /** {@inheritDoc} */
    @Override
    public void onHistoryLost() {
        graceUntilMillis = clockMillis.getAsLong() + UNLISTED_GRACE_MILLIS;
        listener.onFollowed(reachable);
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

    private void addOrUpdate(Listed stated) {
        String id = stated.record.id();
        Optional<Listed> known = Optional.ofNullable(listedById.get(id));
        if (isOutdated(stated, known)) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "fleet: outdated row passed over id={0} version={1}",
                    id,
                    Long.toString(stated.rowNumber));
            return;
        }
        boolean wasUnlisted = unlistedSinceMillis.remove(id) != null;
        if (wasUnlisted) {
            LOG.log(System.Logger.Level.INFO, "fleet: replica listed again id={0}", id);
        }
        Optional<ReplicaRecord> before = known.map(Listed::record);
        ReplicaRecord record = before.filter(stated.record::isEarlierStateOf).orElse(stated.record);
        departedById.remove(id);
        listedById.put(id, new Listed(record, stated.rowNumber));
        if (wasUnlisted || !before.equals(Optional.of(record))) {
            listener.onListed(record, before);
        }
    }

    /** Returns whether a row says what was so before something else that is known of its replica. */
    private boolean isOutdated(Listed stated, Optional<Listed> known) {
        forgetOldDepartures();
        boolean precedesDeparture = Optional.ofNullable(departedById.get(stated.record.id()))
                .map(Departed::last)
                .filter(last -> last.record.isSameIncarnation(stated.record))
                .filter(stated::isNotNewerThan)
                .isPresent();
        boolean isPredecessor = known.filter(later -> stated.record.bornMillis() < later.record.bornMillis())
                .filter(stated::isNotNewerThan)
                .isPresent();
        return precedesDeparture || isPredecessor;
    }

    private void markUnlisted(String id) {
        long nowMillis = clockMillis.getAsLong();
        if (listedById.containsKey(id) && unlistedSinceMillis.putIfAbsent(id, nowMillis) == null) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "fleet: replica missing id={0} reachable={1} doubtful_ms={2}",
                    id,
                    reachable,
                    Math.max(nowMillis, graceUntilMillis) - nowMillis);
            listener.onUnlisted(listedById.get(id).record);
        }
    }

    private void remove(String id) {
        unlistedSinceMillis.remove(id);
        Listed removed = listedById.remove(id);
        if (removed != null) {
            rememberDeparture(removed);
            LOG.log(System.Logger.Level.INFO, "fleet: replica gone id={0} service={1}", id, removed.record.service());
            listener.onRemoved(removed.record);
        }
    }

    private void rememberDeparture(Listed last) {
        forgetOldDepartures();
        departedById.put(last.record.id(), new Departed(last, clockMillis.getAsLong()));
    }

    private void forgetOldDepartures() {
        long nowMillis = clockMillis.getAsLong();
        departedById.values().removeIf(each -> nowMillis - each.removedMillis > DEPARTURE_RETENTION_MILLIS);
    }

    /**
     * A row as it was read.
     *
     * @param record the replica's record.
     * @param rowNumber the number of the version at which the row was written.
     */
    private record Listed(ReplicaRecord record, long rowNumber) {

        boolean isNotNewerThan(Listed other) {
            return rowNumber <= other.rowNumber;
        }
    }

    private record Departed(Listed last, long removedMillis) {}

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

        /**
         * Changes may have been missed until now.
         *
         * @param isFollowed whether none is missed from now on.
         */
        default void onFollowed(boolean isFollowed) {}

        /**
         * Notifies several listeners, in their order.
         *
         * @param listeners the listeners.
         */
        record Compound(List<Listener> listeners) implements Listener {

            /** {@inheritDoc} */
            @Override
            public void onListed(ReplicaRecord record, Optional<ReplicaRecord> before) {
                notifyEach(record, each -> each.onListed(record, before));
            }

            /** {@inheritDoc} */
            @Override
            public void onUnlisted(ReplicaRecord record) {
                notifyEach(record, each -> each.onUnlisted(record));
            }

            /** {@inheritDoc} */
            @Override
            public void onRemoved(ReplicaRecord record) {
                notifyEach(record, each -> each.onRemoved(record));
            }

            /** {@inheritDoc} */
            @Override
            public void onFollowed(boolean isFollowed) {
                listeners.forEach(each -> CallbackGuard.run("replica list", () -> each.onFollowed(isFollowed)));
            }

            private void notifyEach(ReplicaRecord record, Consumer<Listener> notification) {
                listeners.forEach(each -> CallbackGuard.run("replica " + record.id(), () -> notification.accept(each)));
            }
        }
    }
}
