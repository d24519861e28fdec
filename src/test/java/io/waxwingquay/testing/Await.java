package io.waxwingquay.testing;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Waits for conditions, futures and latches, with a generous time limit.
 */
public final class Await {

    private static final long LIMIT_SECONDS = 30;

    private Await() {}

    /**
     * Condition whose evaluation may throw.
     */
    @FunctionalInterface
    public interface Condition {

        /**
         * Evaluates the condition once.
         *
         * @return whether it holds.
         * @throws Exception if the evaluation fails, which ends the wait.
         */
        boolean holds() throws Exception;
    }

    /**
     * Polls a condition until it holds, and fails if it does not hold within the limit.
     *
     * @param condition the condition.
     * @throws Exception if the condition throws.
     */
    public static void until(Condition condition) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (!condition.holds()) {
            assertTrue(System.nanoTime() < endNanos, "the condition did not hold within the time limit");
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    /**
     * Waits for a future to complete.
     *
     * @param future the future.
     * @param <T> the type of the value.
     * @return the value of the future.
     * @throws Exception if the future fails or does not complete within the limit.
     */
    public static <T> T value(CompletableFuture<T> future) throws Exception {
        return future.get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Waits for a future to fail, and fails itself if the future completes normally.
     *
     * @param type the class of the expected failure.
     * @param future the future.
     * @param <F> the type of the failure.
     * @return the cause of the failure.
     */
    public static <F extends Throwable> F failure(Class<F> type, CompletableFuture<?> future) {
        ExecutionException thrown =
                assertThrows(ExecutionException.class, () -> future.get(LIMIT_SECONDS, TimeUnit.SECONDS));
        return type.cast(thrown.getCause());
    }

    /**
     * Waits for a latch where no checked exception may be thrown; an interrupt ends the wait and stays set.
     *
     * @param latch the latch.
     * @return whether the count reached zero within the limit.
     */
    public static boolean latch(CountDownLatch latch) {
        try {
            return latch.await(LIMIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException failure) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Closes a resource where no checked exception may be thrown; wraps a failure in an unchecked exception.
     *
     * @param closeable the resource.
     */
    public static void closeUnchecked(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception failure) {
            throw new IllegalStateException("closing a resource failed", failure);
        }
    }
}
