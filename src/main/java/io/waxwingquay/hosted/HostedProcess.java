package io.waxwingquay.hosted;

import java.util.concurrent.CompletableFuture;

/**
 * A running process.
 */
public interface HostedProcess {

    /**
     * Begins to leave: takes less and less new work, ends what is under way.
     *
     * @return completes when the process may exit.
     */
    CompletableFuture<Void> shutdown();
}
