package io.waxwingquay.common;

/** Runs tasks later. */
@FunctionalInterface
public interface Delayer {

    /**
     * Schedules a task to run once.
     *
     * @param delayMillis the delay from now.
     * @param task the task.
     */
    void schedule(long delayMillis, Runnable task);
}
