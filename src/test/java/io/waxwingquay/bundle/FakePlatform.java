package io.waxwingquay.bundle;

import io.waxwingquay.store.ObjectStore;
import io.waxwingquay.store.PlatformException;
import io.waxwingquay.store.TableService;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** An in-memory table service and object store that fail on demand. */
public final class FakePlatform implements TableService, ObjectStore {

    final Map<String, Row> rows = new HashMap<>();
    final Map<String, byte[]> objects = new HashMap<>();
    boolean outage;
    int commitAnswersToDrop;
    int commitsToDrop;
    Runnable beforeCommit = () -> {};
    Runnable afterDroppedAnswer = () -> {};

    @Override
    public CompletableFuture<Map<String, Row>> read(List<String> keys) {
        Map<String, Row> found = new HashMap<>(rows);
        found.keySet().retainAll(keys);
        return answer(found);
    }

    @Override
    public CompletableFuture<CommitResult> commit(List<Write> writes) {
        beforeCommit.run();
        if (outage || commitsToDrop-- > 0) {
            return unavailable();
        }
        Map<String, Optional<Row>> conflicts = new HashMap<>();
        writes.stream()
                .filter(write -> versionOf(write.key()) != write.expectedVersion())
                .forEach(write -> conflicts.put(write.key(), Optional.ofNullable(rows.get(write.key()))));
        if (conflicts.isEmpty()) {
            writes.forEach(write -> rows.put(write.key(), new Row(write.value(), write.expectedVersion() + 1)));
        }
        if (commitAnswersToDrop-- > 0) {
            afterDroppedAnswer.run();
            return unavailable();
        }
        return answer(new CommitResult(conflicts.isEmpty(), conflicts));
    }

    @Override
    public CompletableFuture<Void> put(String name, byte[] bytes) {
        if (!outage) {
            objects.put(name, bytes);
        }
        return answer(null);
    }

    @Override
    public CompletableFuture<Optional<byte[]>> get(String name) {
        return answer(Optional.ofNullable(objects.get(name)));
    }

    /** Makes all further calls fail as unavailable. */
    public void startOutage() {
        outage = true;
    }

    /** Makes the given number of further commits fail as unavailable before they take effect. */
    public void dropCommits(int count) {
        commitsToDrop = count;
    }

    BundleArchive archive() {
        return new BundleArchive(this, this);
    }

    private long versionOf(String key) {
        return rows.containsKey(key) ? rows.get(key).version() : ABSENT;
    }

    private <T> CompletableFuture<T> answer(T value) {
        return outage ? unavailable() : CompletableFuture.completedFuture(value);
    }

    private static <T> CompletableFuture<T> unavailable() {
        return CompletableFuture.failedFuture(new PlatformException.Unavailable("table: no answer", null));
    }
}
