package io.waxwingquay.hosted;

import java.util.concurrent.CompletableFuture;

/**
 * A running process of this system.
 */
public interface HostedProcess {

    /**
     * Starts a graceful shutdown: stops accepting new work step by step, and finishes the work in progress.
     *
     * @return a future that completes when the process may exit.
     */
    CompletableFuture<Void> shutdown();
}
