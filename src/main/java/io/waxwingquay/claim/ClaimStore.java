package io.waxwingquay.claim;

import io.waxwingquay.store.TableService;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Claims of non-idempotent calls in the platform's table service. Futures fail with {@link ClaimException}.
 */
public final class ClaimStore {

    private static final String PREFIX = "claim/";

    private final GroupCommitter committer;

    /**
     * A store.
     *
     * @param committer writes the rows.
     */
    public ClaimStore(GroupCommitter committer) {
        this.committer = committer;
    }

    /**
     * The row of a key.
     *
     * @param service the service called.
     * @param key the caller's idempotency key.
     * @return the table's key.
     */
    public static String rowKey(String service, String key) {
        return PREFIX + service + "/" + key;
    }

    /**
     * Claims a key that nobody has claimed.
     *
     * @param rowKey the row, of {@link #rowKey}.
     * @param record the claim.
     * @return whose claim the row holds now.
     */
    public CompletableFuture<StoredClaim> claim(String rowKey, ClaimRecord record) {
        return write(rowKey, TableService.ABSENT, record);
    }

    /**
     * Replaces a claim by compare-and-set: by a new attempt after the old one was withdrawn, or by its outcome.
     *
     * @param rowKey the row.
     * @param version the version of the row to replace.
     * @param record the new claim.
     * @return whose claim the row holds now.
     */
    public CompletableFuture<StoredClaim> replace(String rowKey, long version, ClaimRecord record) {
        return write(rowKey, version, record);
    }

    /**
     * Reads a claim.
     *
     * @param rowKey the row.
     * @return the claim, or empty if there is none.
     */
    public CompletableFuture<Optional<StoredClaim>> find(String rowKey) {
        return committer.read(rowKey).handle((row, failure) -> {
            if (failure != null) {
                throw new ClaimException("claim '" + rowKey + "' could not be read", failure);
            }
            return row.map(held -> new StoredClaim(false, ClaimRecord.fromJson(held.value()), held.version()));
        });
    }

    /**
     * What a row holds after a write.
     *
     * @param ours whether our write took effect.
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
        return row.map(held -> new StoredClaim(false, ClaimRecord.fromJson(held.value()), held.version()))
                .orElseThrow(() -> new ClaimException("claim '" + rowKey + "' has vanished from the table", null));
    }
}
