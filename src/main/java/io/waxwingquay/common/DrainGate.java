package io.waxwingquay.common;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts work in flight and, once closed, admits no more. Closing always waits for the work admitted before: the closed
 * flag and the count share one atomic number, so that a shutdown cannot miss work between the check and the increment.
 * Safe for concurrent use.
 */
public final class DrainGate {

    private static final long CLOSED = 1L << 62;

    private final AtomicLong closedAndCount = new AtomicLong();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();

    /**
     * Admits work unless the gate is closed.
     *
     * @return whether the work was admitted; it must then {@link #leave}.
     */
    public boolean tryEnter() {
        return (closedAndCount.getAndUpdate(current -> (current & CLOSED) == 0 ? current + 1 : current) & CLOSED) == 0;
    }

    /** Adds work that an admitted request started and that may outlive the request; it must {@link #leave} too. */
    public void hold() {
        closedAndCount.incrementAndGet();
    }

    /** Ends work that was admitted or held. */
    public void leave() {
        if (closedAndCount.decrementAndGet() == CLOSED) {
            drained.complete(null);
        }
    }

    /**
     * Closes the gate.
     *
     * @return a future that completes when all work in flight has ended.
     */
    public CompletableFuture<Void> close() {
        if (closedAndCount.updateAndGet(current -> current | CLOSED) == CLOSED) {
            drained.complete(null);
        }
        return drained.copy();
    }

    /**
     * Checks whether the gate is closed.
     *
     * @return whether no more work is admitted.
     */
    public boolean isClosed() {
        return (closedAndCount.get() & CLOSED) != 0;
    }

    /**
     * Counts the work in flight.
     *
     * @return the number of admitted requests and held pieces of work.
     */
    public long inFlight() {
        return closedAndCount.get() & ~CLOSED;
    }
}
