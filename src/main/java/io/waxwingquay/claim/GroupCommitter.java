package io.waxwingquay.claim;

import io.waxwingquay.store.PlatformException;
import io.waxwingquay.store.TableService;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;

/**
 * Group commit: commits the writes of concurrent callers in shared transactions, because the table service accepts only
 * several hundred transactions per second. A write is sent at once when no transaction is in flight; otherwise it joins
 * the next one. Safe for concurrent use.
 */
public final class GroupCommitter {

    private static final int MAXIMUM_COMMIT_ATTEMPTS = 2;

    private final TableService table;
    private final Executor executor;
    private final BatchQueue<PendingWrite> queue;

    /**
     * Creates a committer.
     *
     * @param table the table service.
     * @param maximumWrites the most writes in one transaction.
     * @param executor runs the continuation of each transaction.
     */
    public GroupCommitter(TableService table, int maximumWrites, Executor executor) {
        this.table = table;
        this.executor = executor;
        this.queue = new BatchQueue<>(maximumWrites, pending -> pending.write().key());
    }

    /**
     * Commits one write. Values must be unique to their writer, because an equal value found in the row counts as this
     * write having taken effect.
     *
     * @param write the conditional write.
     * @return empty if it took effect, else the conflicting row; fails with {@link PlatformException}, and the write
     *     may then still take effect later.
     */
    public CompletableFuture<Optional<Conflict>> commit(TableService.Write write) {
        PendingWrite pending = new PendingWrite(write, new CompletableFuture<>());
        send(queue.add(pending));
        return pending.result();
    }

    /**
     * Reads one row.
     *
     * @param key the row's key.
     * @return the row, if there is one; fails with {@link PlatformException}.
     */
    public CompletableFuture<Optional<TableService.Row>> read(String key) {
        return table.read(List.of(key)).thenApply(rows -> Optional.ofNullable(rows.get(key)));
    }

    /**
     * The row that conflicted with a write.
     *
     * @param row the row, or empty if there is none.
     */
    public record Conflict(Optional<TableService.Row> row) {}

    private void send(List<PendingWrite> batch) {
        if (!batch.isEmpty()) {
            commitBatch(batch, 1).whenCompleteAsync((done, failure) -> send(queue.completeBatch()), executor);
        }
    }

    private CompletableFuture<Void> commitBatch(List<PendingWrite> batch, int attemptNumber) {
        if (batch.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        return call(batch)
                .handleAsync(
                        (result, failure) -> failure == null
                                ? onResult(batch, result, attemptNumber)
                                : onFailure(batch, unwrap(failure), attemptNumber),
                        executor)
                .thenCompose(next -> next);
    }

    private CompletableFuture<TableService.CommitResult> call(List<PendingWrite> batch) {
        try {
            return table.commit(batch.stream().map(PendingWrite::write).toList());
        } catch (RuntimeException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    private CompletableFuture<Void> onResult(
            List<PendingWrite> batch, TableService.CommitResult result, int attemptNumber) {
        if (result.committed()) {
            batch.forEach(PendingWrite::completeApplied);
            return CompletableFuture.completedFuture(null);
        }
        Map<String, Optional<TableService.Row>> conflicts = result.conflicts();
        List<PendingWrite> rest = batch.stream()
                .filter(pending -> !conflicts.containsKey(pending.write().key()))
                .toList();
        if (rest.size() == batch.size()) {
            fail(batch, new PlatformException("table: rejected a commit without naming a conflict", null));
            return CompletableFuture.completedFuture(null);
        }
        batch.stream()
                .filter(pending -> conflicts.containsKey(pending.write().key()))
                .forEach(pending ->
                        pending.completeAgainst(conflicts.get(pending.write().key())));
        return commitBatch(rest, attemptNumber);
    }

    /**
     * Handles a failed commit, whose answer may have been lost after the writes took effect. Reading the rows back
     * shows that by their values, which name the attempt. A write still in transit when its row is read back is caught
     * by the repeated commit, which then conflicts with its own value.
     */
    private CompletableFuture<Void> onFailure(List<PendingWrite> batch, Throwable failure, int attemptNumber) {
        if (!(failure instanceof PlatformException.Unavailable)) {
            fail(batch, failure);
            return CompletableFuture.completedFuture(null);
        }
        return readBack(batch)
                .handleAsync(
                        (rows, readFailure) -> {
                            if (readFailure != null) {
                                fail(batch, failure);
                                return CompletableFuture.<Void>completedFuture(null);
                            }
                            return afterReadBack(batch, rows, failure, attemptNumber);
                        },
                        executor)
                .thenCompose(next -> next);
    }

    private CompletableFuture<Map<String, TableService.Row>> readBack(List<PendingWrite> batch) {
        try {
            return table.read(
                    batch.stream().map(pending -> pending.write().key()).toList());
        } catch (RuntimeException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }

    private CompletableFuture<Void> afterReadBack(
            List<PendingWrite> batch, Map<String, TableService.Row> rows, Throwable failure, int attemptNumber) {
        List<PendingWrite> unchanged = batch.stream()
                .filter(pending -> pending.isUnchanged(rows.get(pending.write().key())))
                .toList();
        batch.stream()
                .filter(pending -> !unchanged.contains(pending))
                .forEach(pending -> pending.completeAgainst(
                        Optional.ofNullable(rows.get(pending.write().key()))));
        if (attemptNumber < MAXIMUM_COMMIT_ATTEMPTS) {
            return commitBatch(unchanged, attemptNumber + 1);
        }
        fail(unchanged, failure);
        return CompletableFuture.completedFuture(null);
    }

    private static void fail(List<PendingWrite> batch, Throwable failure) {
        batch.forEach(pending -> pending.result().completeExceptionally(failure));
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    private record PendingWrite(TableService.Write write, CompletableFuture<Optional<Conflict>> result) {

        private void completeApplied() {
            result.complete(Optional.empty());
        }

        private void completeAgainst(Optional<TableService.Row> row) {
            boolean ours =
                    row.filter(found -> found.value().equals(write.value())).isPresent();
            result.complete(ours ? Optional.empty() : Optional.of(new Conflict(row)));
        }

        private boolean isUnchanged(TableService.Row row) {
            long version = row == null ? TableService.ABSENT : row.version();
            return version == write.expectedVersion();
        }
    }
}
