package io.waxwingquay.fleet;

import io.waxwingquay.common.CallbackGuard;
import io.waxwingquay.net.EventLoop;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;

/**
 * Follows one table for the lifetime of the process: reads a snapshot, long-polls for changes, and reads a new snapshot
 * whenever it may have missed a change.
 *
 * @param <T> the type of a row's value.
 */
public final class TableWatch<T> {

    /**
     * How long the store holds a call that waits for a change. A longer wait means fewer calls; each call is billed.
     *
     * <p>Failure: the store becomes unresponsive and recovers, but never answers the calls that it held. Symptom:
     * until such a call times out here, this process uses a configuration and a replica list that are no longer in
     * force. With this wait the call times out within four seconds, and a change made three seconds after the recovery
     * is still in force within two seconds, as required.
     */
    private static final long LONG_POLL_MILLIS = 2_500L;

    /**
     * After a failure the store is polled without a wait until it answers: a long poll can't distinguish a store that
     * is still unresponsive from one without a change, and would also stay unanswered until its timeout.
     */
    private static final long NO_WAIT_MILLIS = 0L;

    /** First retry delay after a failed call, doubled for each further one; also the pause after a stale snapshot. */
    private static final long MIN_RETRY_MILLIS = 100L;

    /** Maximum retry delay, well below the two seconds within which entries must apply a change. */
    private static final long MAX_RETRY_MILLIS = 800L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.fleet");

    private final EventLoop loop;
    private final String name;
    private final WatchedTable<T> table;
    private final Listener<T> listener;
    private final long coalesceMillis;
    private StoreVersion version = StoreVersion.NONE;
    private StoreVersion lastChangeVersion = StoreVersion.NONE;
    private boolean snapshotRead;
    private boolean staleSnapshotRead;
    private boolean reachable = true;
    private long retryDelayMillis = MIN_RETRY_MILLIS;

    /**
     * Creates a watch; {@link #start} starts it.
     *
     * @param loop the event loop on which everything runs.
     * @param name the table's name, used in logs.
     * @param table the table.
     * @param coalesceMillis pause after an answer with changes, so that a burst of changes costs one billed call
     *     instead of one each.
     * @param listener receives what is read.
     */
    public TableWatch(EventLoop loop, String name, WatchedTable<T> table, long coalesceMillis, Listener<T> listener) {
        this.loop = loop;
        this.name = name;
        this.table = table;
        this.coalesceMillis = coalesceMillis;
        this.listener = listener;
    }

    /** Starts the watch; called on the loop. */
    public void start() {
        if (!CallbackGuard.run("read of table " + name, this::read)) {
            loop.schedule(MAX_RETRY_MILLIS, this::start);
        }
    }

    private void read() {
        if (snapshotRead) {
            table.changesAfter(version, reachable ? LONG_POLL_MILLIS : NO_WAIT_MILLIS)
                    .whenComplete(watching(this::onChangesRead));
        } else {
            table.readAll().whenComplete(watching(this::onSnapshotRead));
        }
    }

    /**
     * Returns a callback after which the watch goes on even if it throws: a part of what was read may not have been applied
     * then, so a snapshot is read next.
     */
    private BiConsumer<WatchedTable.Page<T>, Throwable> watching(BiConsumer<WatchedTable.Page<T>, Throwable> callback) {
        return (page, failure) -> {
            if (!CallbackGuard.run("answer of table " + name, () -> callback.accept(page, failure))) {
                snapshotRead = false;
                loop.schedule(MAX_RETRY_MILLIS, this::start);
            }
        };
    }

    /**
     * Returns whether the store counts as reachable. It does not from a failed call until the next successful one; an
     * answer that the store dropped its history changes nothing.
     *
     * @return whether the store is reachable; true before the first call.
     */
    public boolean isReachable() {
        return reachable;
    }

    /**
     * Returns the latest version of the store that is known here.
     *
     * @return the version, {@link StoreVersion#NONE} before the first snapshot.
     */
    public StoreVersion version() {
        return version;
    }

    /**
     * Returns the version of the last snapshot or non-empty page of changes, leaving out stale ones; a snapshot that
     * was adopted from a peer counts too. The store's {@link #version} also advances with other tables, so it does not
     * show whether another process has missed a change.
     *
     * @return the version, {@link StoreVersion#NONE} before the first snapshot.
     */
    public StoreVersion lastChangeVersion() {
        return lastChangeVersion;
    }

    /**
     * Adopts a snapshot that a peer has read, if it is newer. The peer may have read it while rows were temporarily
     * missing, so it is handled like a snapshot after the store dropped its history.
     *
     * @param page all rows that the peer could parse.
     */
    public void adopt(WatchedTable.Page<T> page) {
        if (!page.version().isNewerThan(version)) {
            return;
        }
        noteRestore(page.version());
        version = page.version();
        lastChangeVersion = version;
        snapshotRead = true;
        listener.onHistoryLost();
        listener.onSnapshot(page);
    }

    private void onSnapshotRead(WatchedTable.Page<T> page, Throwable failure) {
        if (failure != null) {
            onCallFailed(failure);
            return;
        }
        onCallSucceeded();
        snapshotRead = true;
        if (version.isNewerThan(page.version())) {
            // A stale snapshot: the store is polled again once it may have caught up.
            noteStaleSnapshot(page.version());
            loop.schedule(MIN_RETRY_MILLIS, this::start);
            return;
        }
        staleSnapshotRead = false;
        noteRestore(page.version());
        version = page.version();
        lastChangeVersion = version;
        listener.onSnapshot(page);
        start();
    }

    /** Logs the first of consecutive stale snapshots. */
    private void noteStaleSnapshot(StoreVersion staleVersion) {
        if (!staleSnapshotRead) {
            staleSnapshotRead = true;
            LOG.log(
                    System.Logger.Level.WARNING,
                    "fleet: stale snapshot passed over table={0} version={1} known={2}",
                    name,
                    staleVersion,
                    version);
        }
    }

    /** Notes whether the store was restored from an older copy since the known version. */
    private void noteRestore(StoreVersion newVersion) {
        if (!version.equals(StoreVersion.NONE) && newVersion.isOnLaterTimelineThan(version)) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "fleet: store restored from a copy table={0} version={1} known={2}",
                    name,
                    newVersion,
                    version);
            listener.onHistoryLost();
        }
    }

    private void onChangesRead(WatchedTable.Page<T> page, Throwable failure) {
        if (failure != null) {
            onCallFailed(failure);
            return;
        }
        onCallSucceeded();
        boolean isStale = version.isNewerThan(page.version());
        if (!isStale) {
            version = page.version();
        }
        if (page.rows().isEmpty() || isStale) {
            start();
            return;
        }
        lastChangeVersion = version;
        listener.onChanges(page);
        loop.schedule(coalesceMillis, this::start);
    }

    private void onCallSucceeded() {
        retryDelayMillis = MIN_RETRY_MILLIS;
        if (!reachable) {
            reachable = true;
            LOG.log(System.Logger.Level.INFO, "fleet: store regained table={0} version={1}", name, version);
            listener.onReachabilityChanged(true);
        }
    }

    private void onCallFailed(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof StoreException.HistoryLost) {
            LOG.log(System.Logger.Level.INFO, "fleet: history lost table={0} version={1}", name, version);
            snapshotRead = false;
            listener.onHistoryLost();
            start();
            return;
        }
        if (reachable) {
            reachable = false;
            LOG.log(System.Logger.Level.WARNING, "fleet: store lost table={0} cause={1}", name, cause.getMessage());
            listener.onReachabilityChanged(false);
        }
        loop.schedule(retryDelayMillis, this::start);
        retryDelayMillis = Math.min(MAX_RETRY_MILLIS, retryDelayMillis * 2);
    }

    /**
     * Receives what a watch reads, on the loop.
     *
     * @param <T> the type of a row's value.
     */
    public interface Listener<T> {

        /**
         * A snapshot of the table was read, here or by a peer.
         *
         * @param page all rows that can be parsed.
         */
        void onSnapshot(WatchedTable.Page<T> page);

        /**
         * Rows have changed.
         *
         * @param page the changed rows in version order.
         */
        void onChanges(WatchedTable.Page<T> page);

        /**
         * The store became unreachable or reachable again.
         *
         * @param reachable whether it answers.
         */
        default void onReachabilityChanged(boolean reachable) {}

        /**
         * Rows may be missing from the next snapshot: the store dropped its history or was restored from an older copy,
         * or a peer read the snapshot.
         */
        default void onHistoryLost() {}
    }
}
