package io.waxwingquay.claim;

import io.waxwingquay.store.TableService;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Stores claims of non-idempotent calls in the platform's table service. Futures fail with {@link ClaimException}.
 */
public final class ClaimStore {

    private static final String PREFIX = "claim/";

    private final GroupCommitter committer;

    /**
     * Creates a store.
     *
     * @param committer writes the rows.
     */
    public ClaimStore(GroupCommitter committer) {
        this.committer = committer;
    }

    /**
     * Returns the row key of an idempotency key.
     *
     * @param service the service called.
     * @param key the caller's idempotency key.
     * @return the key in the table.
     */
    public static String rowKey(String service, String key) {
        return PREFIX + service + "/" + key;
    }

    /**
     * Claims a key that has no claim.
     *
     * @param rowKey the row key, from {@link #rowKey}.
     * @param record the claim.
     * @return the claim that the row holds now.
     */
    public CompletableFuture<StoredClaim> claim(String rowKey, ClaimRecord record) {
        return write(rowKey, TableService.ABSENT, record);
    }

    /**
     * Replaces a claim by compare-and-set: with that of a new attempt after the old one was withdrawn, or with the same
     * claim and its outcome.
     *
     * @param rowKey the row key.
     * @param version the version of the row to replace.
     * @param record the new claim.
     * @return the claim that the row holds now.
     */
    public CompletableFuture<StoredClaim> replace(String rowKey, long version, ClaimRecord record) {
        return write(rowKey, version, record);
    }

    /**
     * Reads a claim.
     *
     * @param rowKey the row key.
     * @return the claim, or empty if there is none.
     */
    public CompletableFuture<Optional<StoredClaim>> find(String rowKey) {
        return committer.read(rowKey).handle((row, failure) -> {
            if (failure != null) {
                throw new ClaimException("claim '" + rowKey + "' could not be read", failure);
            }
            return row.map(stored -> new StoredClaim(false, ClaimRecord.fromJson(stored.value()), stored.version()));
        });
    }

    /**
     * The claim that a row holds.
     *
     * @param ours whether it was written by this call.
     * @param record the claim in the row.
     * @param version the row's version.
     */
    public record StoredClaim(boolean ours, ClaimRecord record, long version) {}

    private CompletableFuture<StoredClaim> write(String rowKey, long version, ClaimRecord record) {
        return committer
                .commit(new TableService.Write(rowKey, version, record.toJson()))
                .handle((conflict, failure) -> {
                    if (failure != null) {
                        throw new ClaimException("claim '" + rowKey + "' could not be written", failure);
                    }
                    return conflict.map(other -> storedByOther(rowKey, other))
                            .orElseGet(() -> new StoredClaim(true, record, version + 1));
                });
    }

    private static StoredClaim storedByOther(String rowKey, GroupCommitter.Conflict conflict) {
        Optional<TableService.Row> row = conflict.row();
        return row.map(stored -> new StoredClaim(false, ClaimRecord.fromJson(stored.value()), stored.version()))
                .orElseThrow(() -> new ClaimException("claim '" + rowKey + "' no longer exists in the table", null));
    }
}
