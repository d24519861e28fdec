package io.waxwingquay.common;

import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiConsumer;

/**
 * Runs callbacks whose exception nobody would see, such as those of a {@link java.util.concurrent.CompletableFuture}.
 *
 * <p>Failure: a callback throws before it asks for the next answer. Symptom: what it follows is never read again, and nothing
 * is logged. Here the exception is logged and counted, and the caller learns of it, so that it can go on.
 */
public final class CallbackGuard {

    private static final System.Logger LOG = System.getLogger("waxwingquay.common");
    private static final LongAdder FAILURES = new LongAdder();

    private CallbackGuard() {}

    /**
     * Runs a callback.
     *
     * @param name what the callback handles, such as a row with its key, for the log.
     * @param callback the callback.
     * @return whether it completed normally.
     */
    public static boolean run(String name, Runnable callback) {
        try {
            callback.run();
            return true;
        } catch (RuntimeException failure) {
            noteFailure();
            LOG.log(System.Logger.Level.ERROR, "common: callback failed of=" + name, failure);
            return false;
        }
    }

    /**
     * Returns a callback that never throws.
     *
     * @param name what the callback handles, for the log.
     * @param callback receives the result or the failure of a future.
     * @param <T> the type of the result.
     * @return the guarded callback.
     */
    public static <T> BiConsumer<T, Throwable> of(String name, BiConsumer<T, Throwable> callback) {
        return (result, failure) -> run(name, () -> callback.accept(result, failure));
    }

    /** Counts a failure that is logged elsewhere. */
    public static void noteFailure() {
        FAILURES.increment();
    }

    /**
     * Returns the callbacks that failed since the process started.
     *
     * @return the number of failures.
     */
    public static long failureCount() {
        return FAILURES.sum();
    }
}
