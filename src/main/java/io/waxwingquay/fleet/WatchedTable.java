package io.waxwingquay.fleet;

import io.waxwingquay.common.CallbackGuard;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * A table of the platform's store that can be read and followed. All futures complete on the loop and fail with
 * {@link StoreException}.
 *
 * @param <T> the type of a row's value.
 */
public interface WatchedTable<T> {

    /**
     * Reads a consistent snapshot of all rows.
     *
     * @return the rows that can be parsed, and the version to follow from.
     */
    CompletableFuture<Page<T>> readAll();

    /**
     * Waits for changes.
     *
     * @param version the version after which changes are wanted.
     * @param waitMillis how long the store waits for a change.
     * @return the changes in order, possibly none; fails with {@link StoreException.HistoryLost} if the store no longer
     *     has all of them, or was restored since that version.
     */
    CompletableFuture<Page<T>> changesAfter(StoreVersion version, long waitMillis);

    /**
     * Rows as of one version.
     *
     * @param <T> the type of a row's value.
     * @param version the version.
     * @param rows the rows.
     */
    record Page<T>(StoreVersion version, List<Row<T>> rows) {

        /**
         * Hands each row to an action. One that throws for a row is logged with the row's key and counted, and the other rows
         * follow: the row may be that of another writer, with any value in any field.
         *
         * @param action the action.
         */
        public void forEachRow(Consumer<Row<T>> action) {
            rows.forEach(row -> CallbackGuard.run("row " + row.key(), () -> action.accept(row)));
        }
    }

    /**
     * A row of a table.
     *
     * @param <T> the type of the row's value.
     * @param key the row's key.
     * @param value the row's value; empty if the row was removed or can't be parsed.
     * @param number the number of the version at which the row was written.
     */
    record Row<T>(String key, Optional<T> value, long number) {}
}
