package io.waxwingquay.entry;

import io.waxwingquay.store.PlatformException;
import io.waxwingquay.store.TableService;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;

/** In-memory table that loses answers or is unavailable, as configured. */
public final class FakeTable implements TableService {

    public enum Fault {
        NONE,
        LOSE_ANSWER,
        UNAVAILABLE
    }

    private final Queue<Fault> commitFaults = new ArrayDeque<>();
    private final Queue<CompletableFuture<Void>> commitDelays = new ArrayDeque<>();
    private volatile boolean unavailable;
    private int commits;
    private final Map<String, Row> rows = new HashMap<>();

    @Override
    public synchronized CompletableFuture<Map<String, Row>> read(List<String> keys) {
        if (unavailable) {
            return unavailable();
        }
        Map<String, Row> found = new HashMap<>();
        keys.stream().filter(rows::containsKey).forEach(key -> found.put(key, rows.get(key)));
        return CompletableFuture.completedFuture(found);
    }

    @Override
    public synchronized CompletableFuture<CommitResult> commit(List<Write> writes) {
        commits++;
        Fault fault = Optional.ofNullable(commitFaults.poll()).orElse(Fault.NONE);
        if (unavailable || fault == Fault.UNAVAILABLE) {
            return unavailable();
        }
        CompletableFuture<Void> delay =
                Optional.ofNullable(commitDelays.poll()).orElse(CompletableFuture.completedFuture(null));
        CommitResult result = apply(writes);
        return fault == Fault.LOSE_ANSWER ? unavailable() : delay.thenApply(done -> result);
    }

    public synchronized void failCommits(Fault... faults) {
        commitFaults.addAll(List.of(faults));
    }

    public synchronized void holdCommit(CompletableFuture<Void> until) {
        commitDelays.add(until);
    }

    public void setUnavailable(boolean value) {
        unavailable = value;
    }

    public synchronized int commits() {
        return commits;
    }

    public synchronized Optional<Row> row(String key) {
        return Optional.ofNullable(rows.get(key));
    }

    private CommitResult apply(List<Write> writes) {
        Map<String, Optional<Row>> conflicts = new HashMap<>();
        for (Write write : writes) {
            Optional<Row> row = Optional.ofNullable(rows.get(write.key()));
            if (row.map(Row::version).orElse(ABSENT) != write.expectedVersion()) {
                conflicts.put(write.key(), row);
            }
        }
        if (conflicts.isEmpty()) {
            writes.forEach(write -> rows.put(write.key(), new Row(write.value(), write.expectedVersion() + 1)));
        }
        return new CommitResult(conflicts.isEmpty(), conflicts);
    }

    private static <T> CompletableFuture<T> unavailable() {
        return CompletableFuture.failedFuture(new PlatformException.Unavailable("table: no answer", null));
    }
}
