package io.waxwingquay.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object store. Objects are addressed by name and are never changed once written.
 */
public interface ObjectStore {

    /**
     * Stores an object; storing the same bytes again is harmless.
     *
     * @param name the object's name, by convention the SHA-256 of its bytes in lower-case hex.
     * @param bytes the content.
     * @return completes when stored; fails with {@link PlatformException}.
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
