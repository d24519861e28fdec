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

/** Transactions that the claims of one entry cost, by the rate of calls that run at most once. */
final class TableUse {

    private static final List<Integer> RATES = List.of(1, 2, 5, 10, 20, 50, 100, 200);
    private static final int SECONDS = 60;
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int BATCH = 64;

    private TableUse() {}

    static Stream<StepTable> all() {
        return Stream.of(transactions(20), transactions(100));
    }

    private static StepTable transactions(int latencyMillis) {
        return StepTable.measure(
                "table transactions a second of one entry, a claim and an outcome a call, table answering in "
                        + latencyMillis + " ms",
                "calls a second that run at most once",
                RATES,
                rate -> simulate((int) rate, latencyMillis));
    }

    private static double simulate(int callsPerSecond, int latencyMillis) {
        SlowTable table = new SlowTable(latencyMillis);
        GroupCommitter committer = new GroupCommitter(table, BATCH, Runnable::run);
        Random random = new Random(3);
        int calls = 0;
        for (int atMillis = 0; atMillis < SECONDS * MILLIS_PER_SECOND; atMillis++) {
            table.advance(atMillis);
            if (random.nextInt(MILLIS_PER_SECOND) < callsPerSecond) {
                String key = "claim/" + calls++;
                committer
                        .commit(new TableService.Write(key, TableService.ABSENT, "claimed"))
                        .thenRun(() -> committer.commit(new TableService.Write(key, 1, "outcome")));
            }
        }
        return (double) table.transactions / SECONDS;
    }

    /** Takes every write, after a fixed time. */
    private static final class SlowTable implements TableService {

        private final int latencyMillis;
        private final Queue<Open> open = new ArrayDeque<>();
        private int nowMillis;
        private long transactions;

        private SlowTable(int latencyMillis) {
            this.latencyMillis = latencyMillis;
        }

        private void advance(int atMillis) {
            nowMillis = atMillis;
            while (!open.isEmpty() && open.peek().dueMillis <= nowMillis) {
                open.remove().result.complete(new CommitResult(true, Map.of()));
            }
        }

        @Override
        public CompletableFuture<Map<String, Row>> read(List<String> keys) {
            return CompletableFuture.completedFuture(Map.of());
        }

        @Override
        public CompletableFuture<CommitResult> commit(List<Write> writes) {
            transactions++;
            Open started = new Open(nowMillis + latencyMillis, new CompletableFuture<>());
            open.add(started);
            return started.result;
        }

        private record Open(int dueMillis, CompletableFuture<CommitResult> result) {}
    }
}
