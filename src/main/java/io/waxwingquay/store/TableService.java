package io.waxwingquay.store;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table. It maps keys to values, each with a version that every write increases.
 *
 * <p>All futures fail with {@link PlatformException}. After {@link PlatformException.Unavailable} the call may or may
 * not have taken effect, as the answer to a write can be lost after the write.
 */
public interface TableService {

    /** The expected version of a key that must not exist yet. */
    long ABSENT = 0L;

    /**
     * Reads keys in one consistent snapshot.
     *
     * @param keys the keys to read.
     * @return the rows that exist, by key.
     */
    CompletableFuture<Map<String, Row>> read(List<String> keys);

    /**
     * Commits all writes atomically if the expected version of each matches, and otherwise none of them.
     *
     * @param writes the conditional writes.
     * @return the outcome, with the conflicting rows if nothing was committed.
     */
    CompletableFuture<CommitResult> commit(List<Write> writes);

    /**
     * A stored value.
     *
     * @param value the value.
     * @param version the row's version, 1 or above.
     */
    record Row(String value, long version) {}

    /**
     * A conditional write.
     *
     * @param key the key.
     * @param expectedVersion the version the row must have, or {@link #ABSENT}.
     * @param value the new value.
     */
    record Write(String key, long expectedVersion, String value) {}

    /**
     * The outcome of a commit.
     *
     * @param committed whether all writes took effect.
     * @param conflicts keys whose version did not match, with the row found there if any.
     */
    record CommitResult(boolean committed, Map<String, Optional<Row>> conflicts) {}
}
