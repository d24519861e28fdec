package io.waxwingquay.bundle;

import io.waxwingquay.store.ObjectStore;
import io.waxwingquay.store.PlatformException;
import io.waxwingquay.store.TableService;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * The archive of accepted bundles on the platform: the table service holds a row for a bundle, the object store its
 * document. All futures fail with {@link BundleException}.
 */
public final class BundleArchive {

    private final TableService table;
    private final ObjectStore objects;

    /**
     * Creates an archive.
     *
     * @param table the platform's table service.
     * @param objects the platform's object store.
     */
    public BundleArchive(TableService table, ObjectStore objects) {
        this.table = table;
        this.objects = objects;
    }

    /**
     * Reads the row of the bundle in force.
     *
     * @return the row, or empty if no bundle was ever accepted.
     */
    public CompletableFuture<Optional<CurrentRow>> current() {
        return withBundleException(table.read(List.of(BundleRow.CURRENT_KEY))
                .thenApply(rows -> Optional.ofNullable(rows.get(BundleRow.CURRENT_KEY))
                        .map(row -> new CurrentRow(BundleRow.parse(row.value()), row.version()))));
    }

    /**
     * Fetches the bundles that changed the operator keys, in order of version.
     *
     * @param row the row of the bundle in force.
     * @param aboveVersion versions up to and including this one are left out.
     * @return the bundles, without the bundle in force.
     */
    CompletableFuture<List<SignedBundle>> fetchKeyChanges(BundleRow row, long aboveVersion) {
        List<String> rowKeys = row.keyVersions().stream()
                .filter(version -> version > aboveVersion && version < row.version())
                .map(BundleRow::keyChangeRowKey)
                .toList();
        if (rowKeys.isEmpty()) {
            return CompletableFuture.completedFuture(List.of());
        }
        return withBundleException(table.read(rowKeys).thenCompose(rows -> fetchAll(rowKeys, rows)));
    }

    /**
     * Fetches the document of an accepted bundle.
     *
     * @param row the row that names the bundle.
     * @return the signed bundle, whose document has the row's hash.
     */
    CompletableFuture<SignedBundle> fetch(BundleRow row) {
        return withBundleException(objects.get(row.hash()).thenApply(found -> toSignedBundle(row, found)));
    }

    /**
     * Stores a bundle's document, which has no effect until a row names it.
     *
     * @param bundle the bundle.
     * @return a future that completes when the document is stored.
     */
    CompletableFuture<Void> store(SignedBundle bundle) {
        return withBundleException(objects.put(bundle.hash(), bundle.document()));
    }

    /**
     * Puts a bundle in force if the row still has the version that was read.
     *
     * @param row the new row.
     * @param expectedRowVersion the row version that was read, or {@link TableService#ABSENT}.
     * @param changesKeys whether the bundle changes the operator keys and is kept in a row of its own, from which later
     *     bundles are verified.
     * @return whether this commit took effect; fails with {@link BundleException.Unreachable} if that is unknown.
     */
    CompletableFuture<Boolean> accept(BundleRow row, long expectedRowVersion, boolean changesKeys) {
        List<TableService.Write> writes = new ArrayList<>();
        writes.add(new TableService.Write(BundleRow.CURRENT_KEY, expectedRowVersion, row.toJson()));
        if (changesKeys) {
            String keyChangeRowKey = BundleRow.keyChangeRowKey(row.version());
            writes.add(new TableService.Write(keyChangeRowKey, TableService.ABSENT, row.toJson()));
        }
        return withBundleException(table.commit(writes).thenApply(TableService.CommitResult::committed));
    }

    private CompletableFuture<List<SignedBundle>> fetchAll(List<String> rowKeys, Map<String, TableService.Row> rows) {
        List<CompletableFuture<SignedBundle>> fetches = rowKeys.stream()
                .filter(rows::containsKey)
                .map(key -> fetch(BundleRow.parse(rows.get(key).value())))
                .toList();
        return CompletableFuture.allOf(fetches.toArray(CompletableFuture[]::new))
                .thenApply(done -> fetches.stream().map(CompletableFuture::join).toList());
    }

    private static SignedBundle toSignedBundle(BundleRow row, Optional<byte[]> found) {
        byte[] document = found.orElseThrow(
                () -> new BundleException.Unreachable("object " + row.hash() + " is not in the object store", null));
        SignedBundle bundle = new SignedBundle(row.version(), document, row.signature(), row.keyId());
        if (!bundle.hash().equals(row.hash())) {
            throw new BundleException.Untrusted("object " + row.hash() + " has other bytes than its name says");
        }
        return bundle;
    }

    private static <T> CompletableFuture<T> withBundleException(CompletableFuture<T> future) {
        return future.handle((value, failure) -> {
            if (failure == null) {
                return value;
            }
            Throwable cause = unwrap(failure);
            throw cause instanceof PlatformException
                    ? new BundleException.Unreachable(cause.getMessage(), cause)
                    : cause instanceof BundleException known
                            ? known
                            : new BundleException("the bundle archive failed: " + cause, cause);
        });
    }

    static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    /**
     * The row of the bundle in force with its version in the table.
     *
     * @param row the row.
     * @param rowVersion the row's version in the table service, which the next compare-and-set expects.
     */
    public record CurrentRow(BundleRow row, long rowVersion) {}
}
