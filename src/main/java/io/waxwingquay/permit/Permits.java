package io.waxwingquay.permit;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Permits of limits that hold over all replicas of a service.
 */
public interface Permits {

    /**
     * Asks once for a permit; never waits for one to become free.
     *
     * @param limit which limit.
     * @return a permit, or empty if none is free now.
     */
    CompletableFuture<Optional<Permit>> acquire(Limit limit);

    /** The limits that are shared. */
    enum Limit {
        /** Loads of models from the weight store, at once. */
        WEIGHT_LOADS,
        /** Loads of adapters, in flight. */
        ADAPTER_LOADS
    }

    /** A permit, given back when closed. */
    interface Permit extends AutoCloseable {

        /** {@inheritDoc} */
        @Override
        void close();
    }
}
