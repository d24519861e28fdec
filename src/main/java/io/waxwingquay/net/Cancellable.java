package io.waxwingquay.net;

/**
 * A task to come that can be given up.
 */
@FunctionalInterface
public interface Cancellable {

    /** Gives the task up; without effect if it has run. */
    void cancel();
}
