package io.waxwingquay.bench.capacity;

import io.waxwingquay.claim.GroupCommitter;
import io.waxwingquay.store.TableService;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/** Simulates how many table transactions per second one entry causes, by its rate of at-most-once calls. */
final class TableLoad {

    private static final List<Integer> CALLS_PER_SECOND = List.of(1, 2, 5, 10, 20, 50, 100, 200);
    private static final int SIMULATED_SECONDS = 60;
    private static final int MILLIS_PER_SECOND = 1_000;

    /** Maximum number of claim writes in one transaction, as in the default configuration of an entry. */
    private static final int MAX_BATCH_WRITES = 64;

    private TableLoad() {}

    static Stream<StepTable> measureAll() {
        return Stream.of(transactionsPerSecond(20), transactionsPerSecond(100));
    }

    private static StepTable transactionsPerSecond(int latencyMillis) {
        return StepTable.measure(
                "table transactions a second of one entry, a claim and an outcome a call, table answering in "
                        + latencyMillis + " ms",
                "calls a second that run at most once",
                CALLS_PER_SECOND,
                rate -> simulate((int) rate, latencyMillis));
    }

    private static double simulate(int callsPerSecond, int latencyMillis) {
        DelayedTable table = new DelayedTable(latencyMillis);
        GroupCommitter committer = new GroupCommitter(table, MAX_BATCH_WRITES, Runnable::run);
        Random random = new Random(3);
        int calls = 0;
        for (int atMillis = 0; atMillis < SIMULATED_SECONDS * MILLIS_PER_SECOND; atMillis++) {
            table.advance(atMillis);
            if (random.nextInt(MILLIS_PER_SECOND) < callsPerSecond) {
                String key = "claim/" + calls++;
                committer
                        .commit(new TableService.Write(key, TableService.ABSENT, "claimed"))
                        .thenRun(() -> committer.commit(new TableService.Write(key, 1, "outcome")));
            }
        }
        return (double) table.transactions / SIMULATED_SECONDS;
    }

    /** A table service that accepts every commit after a fixed delay and stores nothing. */
    private static final class DelayedTable implements TableService {

        private final int latencyMillis;
        private final Queue<PendingCommit> pendingCommits = new ArrayDeque<>();
        private int nowMillis;
        private long transactions;

        private DelayedTable(int latencyMillis) {
            this.latencyMillis = latencyMillis;
        }

        private void advance(int atMillis) {
            nowMillis = atMillis;
            while (!pendingCommits.isEmpty() && pendingCommits.peek().dueMillis <= nowMillis) {
                pendingCommits.remove().result.complete(new CommitResult(true, Map.of()));
            }
        }

        @Override
        public CompletableFuture<Map<String, Row>> read(List<String> keys) {
            return CompletableFuture.completedFuture(Map.of());
        }

        @Override
        public CompletableFuture<CommitResult> commit(List<Write> writes) {
            transactions++;
            PendingCommit started = new PendingCommit(nowMillis + latencyMillis, new CompletableFuture<>());
            pendingCommits.add(started);
            return started.result;
        }

        private record PendingCommit(int dueMillis, CompletableFuture<CommitResult> result) {}
    }
}
