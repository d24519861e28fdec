package io.waxwingquay.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object store. Objects are addressed by name and immutable once written.
 */
public interface ObjectStore {

    /**
     * Stores an object. Idempotent for the same bytes.
     *
     * @param name the object's name, by convention the SHA-256 of its bytes in lower-case hex.
     * @param bytes the content.
     * @return a future that completes when the object is stored; fails with {@link PlatformException}.
     */
    CompletableFuture<Void> put(String name, byte[] bytes);

    /**
     * Fetches an object.
     *
     * @param name the object's name.
     * @return the content, or empty if no such object exists; fails with {@link PlatformException}.
     */
    CompletableFuture<Optional<byte[]>> get(String name);
}
