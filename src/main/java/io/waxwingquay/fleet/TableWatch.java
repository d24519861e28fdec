package io.waxwingquay.fleet;

import io.waxwingquay.net.EventLoop;
import java.util.concurrent.CompletionException;

/**
 * Follows one table for as long as the process lives: reads it whole, then waits for changes, and reads it whole again
 * whenever it can't be sure that it heard all of them.
 *
 * @param <T> what a row holds.
 */
public final class TableWatch<T> {

    /**
     * How long the store waits for a change. Longer means fewer priced calls.
     *
     * <p>Failure: the store falls silent and comes back, and never answers the calls that it held. Symptom: until such a
     * call is given up here, all go by a configuration and a list that are no longer in force. With this wait it is given
     * up within four seconds, and a change that comes three seconds after the return is still followed within its two.
     */
    private static final long LONG_POLL_MILLIS = 2_500L;

    /**
     * After a failure the store is asked without a wait until it answers: a call that waits can't tell a store that is
     * still silent from one without a change, and would be caught as well.
     */
    private static final long NO_WAIT_MILLIS = 0L;

    /** First and longest pause after a failed call; the longest is well below the two seconds that entries need. */
    private static final long MIN_RETRY_MILLIS = 100L;

    private static final long MAX_RETRY_MILLIS = 800L;
    private static final System.Logger LOG = System.getLogger("waxwingquay.fleet");

    private final EventLoop loop;
    private final String name;
    private final WatchedTable<T> table;
    private final Listener<T> listener;
    private final long coalesceMillis;
    private long version;
    private long lastChangeVersion;
    private boolean snapshotRead;
    private boolean reachable = true;
    private long retryDelayMillis = MIN_RETRY_MILLIS;

    /**
     * A watch that has not begun.
     *
     * @param loop where everything runs.
     * @param name the table's name, for logs.
     * @param table the table.
     * @param coalesceMillis pause after an answer with changes, so that a burst of them costs one priced call, not one each.
     * @param listener told what is found.
     */
    public TableWatch(EventLoop loop, String name, WatchedTable<T> table, long coalesceMillis, Listener<T> listener) {
        this.loop = loop;
        this.name = name;
        this.table = table;
        this.coalesceMillis = coalesceMillis;
        this.listener = listener;
    }

    /** Begins; called on the loop. */
    public void start() {
        if (snapshotRead) {
            table.changesAfter(version, reachable ? LONG_POLL_MILLIS : NO_WAIT_MILLIS)
                    .whenComplete(this::onChangesRead);
        } else {
            table.readAll().whenComplete(this::onSnapshotRead);
        }
    }

    /**
     * Whether the last call was answered.
     *
     * @return whether the store can be reached.
     */
    public boolean isReachable() {
        return reachable;
    }

    /**
     * The version of the store that is known here.
     *
     * @return the version, 0 before the table was read.
     */
    public long version() {
        return version;
    }

    /**
     * The version at which this table had changed last, as far as is known here. The store's own version also goes up
     * with other tables, so it does not tell whether another process has missed a change.
     *
     * @return the version, 0 before the table was read.
     */
    public long lastChangeVersion() {
        return lastChangeVersion;
    }

    /**
     * Takes over what another process has read, if it is newer. As that process may have read it while rows were missing
     * for a moment, it is treated like a reading after a lost history.
     *
     * @param page all rows.
     */
    public void adopt(WatchedTable.Page<T> page) {
        if (page.version() <= version) {
            return;
        }
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
        if (page.version() < version) {
            // A reading that lags behind what is known here; the store is asked again when it may have caught up.
            loop.schedule(MIN_RETRY_MILLIS, this::start);
            return;
        }
        version = page.version();
        lastChangeVersion = version;
        listener.onSnapshot(page);
        start();
    }

    private void onChangesRead(WatchedTable.Page<T> page, Throwable failure) {
        if (failure != null) {
            onCallFailed(failure);
            return;
        }
        onCallSucceeded();
        boolean isStale = page.version() < version;
        version = Math.max(version, page.version());
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
     * Told what a watch finds, on the loop.
     *
     * @param <T> what a row holds.
     */
    public interface Listener<T> {

        /**
         * The whole table was read.
         *
         * @param page all rows.
         */
        void onSnapshot(WatchedTable.Page<T> page);

        /**
         * Rows have changed.
         *
         * @param page the changed rows in order.
         */
        void onChanges(WatchedTable.Page<T> page);

        /**
         * The store was lost or regained.
         *
         * @param reachable whether it answers.
         */
        default void onReachabilityChanged(boolean reachable) {}

        /** The store dropped its history; the whole table follows. */
        default void onHistoryLost() {}
    }
}
