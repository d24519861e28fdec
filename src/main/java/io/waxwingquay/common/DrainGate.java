package io.waxwingquay.common;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts work in flight and, once closed, lets no more in. Work that got in before the gate was
 * closed is always waited for: both facts live in one number, so there is no moment between the look and the
 * count in which a shutdown could miss some. Safe for concurrent use.
 */
public final class DrainGate {

    private static final long CLOSED = 1L << 62;

    private final AtomicLong closedAndCount = new AtomicLong();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();

    /**
     * Lets work in.
     *
     * @return whether it got in; it must then {@link #leave}.
     */
    public boolean tryEnter() {
        return (closedAndCount.getAndUpdate(current -> (current & CLOSED) == 0 ? current + 1 : current) & CLOSED) == 0;
    }

    /** Adds work that a request inside the gate started and that outlives it; must {@link #leave} too. */
    public void hold() {
        closedAndCount.incrementAndGet();
    }

    /** Ends what got in or was held. */
    public void leave() {
        if (closedAndCount.decrementAndGet() == CLOSED) {
            drained.complete(null);
        }
    }

    /**
     * Lets no more in.
     *
     * @return completes when everything inside has left.
     */
    public CompletableFuture<Void> close() {
        if (closedAndCount.updateAndGet(current -> current | CLOSED) == CLOSED) {
            drained.complete(null);
        }
        return drained.copy();
    }

    /**
     * Whether the gate is closed.
     *
     * @return whether nothing more gets in.
     */
    public boolean isClosed() {
        return (closedAndCount.get() & CLOSED) != 0;
    }

    /**
     * How much is inside.
     *
     * @return requests and held work.
     */
    public long inFlight() {
        return closedAndCount.get() & ~CLOSED;
    }
}
