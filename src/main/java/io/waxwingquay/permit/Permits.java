package io.waxwingquay.permit;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Permits of limits that hold over all replicas of a service.
 */
public interface Permits {

    /**
     * Requests a permit once; never waits for one to become free.
     *
     * @param limit the limit.
     * @return a permit, or empty if none is free now.
     */
    CompletableFuture<Optional<Permit>> acquire(Limit limit);

    /** The shared limits. */
    enum Limit {
        /** Concurrent loads of models from the weight store. */
        WEIGHT_LOADS,
        /** Concurrent loads of adapters. */
        ADAPTER_LOADS
    }

    /** A permit, returned when closed. */
    interface Permit extends AutoCloseable {

        /** {@inheritDoc} */
        @Override
        void close();
    }
}
