package io.waxwingquay.net;

/**
 * A scheduled task that can be cancelled.
 */
@FunctionalInterface
public interface Cancellable {

    /** Cancels the task; has no effect if it has already run. */
    void cancel();
}
