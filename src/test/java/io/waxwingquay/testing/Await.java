package io.waxwingquay.testing;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Waits for conditions and futures with a generous limit.
 */
public final class Await {

    private static final long LIMIT_SECONDS = 30;

    private Await() {}

    /**
     * A condition that may throw.
     */
    @FunctionalInterface
    public interface Condition {

        /**
         * Looks once.
         *
         * @return whether it holds.
         * @throws Exception if it cannot be told.
         */
        boolean holds() throws Exception;
    }

    /**
     * Waits for a condition.
     *
     * @param condition the condition.
     * @throws Exception if the condition throws.
     */
    public static void until(Condition condition) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (!condition.holds()) {
            assertTrue(System.nanoTime() < endNanos, "the condition never held");
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    /**
     * Waits for a value.
     *
     * @param future the future.
     * @param <T> the value's type.
     * @return the value.
     * @throws Exception if the future fails.
     */
    public static <T> T value(CompletableFuture<T> future) throws Exception {
        return future.get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Waits for a failure.
     *
     * @param type the failure expected.
     * @param future the future.
     * @param <F> the failure's type.
     * @return the failure.
     */
    public static <F extends Throwable> F failure(Class<F> type, CompletableFuture<?> future) {
        ExecutionException thrown =
                assertThrows(ExecutionException.class, () -> future.get(LIMIT_SECONDS, TimeUnit.SECONDS));
        return type.cast(thrown.getCause());
    }

    /**
     * Waits for a latch in a place that may not throw.
     *
     * @param latch the latch.
     * @return whether it opened within the limit.
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
     * Closes in a place that may not throw.
     *
     * @param closeable what to close.
     */
    public static void closeUnchecked(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception failure) {
            throw new IllegalStateException("cannot close", failure);
        }
    }
}
