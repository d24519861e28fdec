package io.waxwingquay.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A table of the platform's store that can be read and followed. All futures complete on the loop and fail with
 * {@link StoreException}.
 *
 * @param <T> what a row holds.
 */
public interface WatchedTable<T> {

    /**
     * Reads all rows as of one moment.
     *
     * @return the rows that can be read, and the version to follow from.
     */
    CompletableFuture<Page<T>> readAll();

    /**
     * Waits for changes.
     *
     * @param version the version after which they are wanted.
     * @param waitMillis how long the store waits for one.
     * @return the changes in order, perhaps none; fails with {@link StoreException.HistoryLost} if the store no longer
     *     has them all.
     */
    CompletableFuture<Page<T>> changesAfter(long version, long waitMillis);

    /**
     * Rows with the version that they are as of.
     *
     * @param <T> what a row holds.
     * @param version the version.
     * @param rows the rows.
     */
    record Page<T>(long version, List<Row<T>> rows) {}

    /**
     * One row.
     *
     * @param <T> what a row holds.
     * @param key its key.
     * @param value what it holds; empty if it was removed or can't be read.
     */
    record Row<T>(String key, Optional<T> value) {}
}
