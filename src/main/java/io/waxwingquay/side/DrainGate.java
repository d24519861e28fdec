package io.waxwingquay.side;

import java.util.concurrent.CompletableFuture;

/**
 * Lets work in until it is closed, and tells when the last work let in has left. Safe for concurrent use.
 */
public final class DrainGate {

    private final CompletableFuture<Void> empty = new CompletableFuture<>();
    private boolean closed;
    private int inside;

    /**
     * Lets one piece of work in.
     *
     * @return whether it was let in; each success needs one {@link #leave}.
     */
    public synchronized boolean enter() {
        if (closed) {
            return false;
        }
        inside++;
        return true;
    }

    /**
     * Lets one piece of work out.
     */
    public void leave() {
        boolean last;
        synchronized (this) {
            inside--;
            last = closed && inside == 0;
        }
        if (last) {
            empty.complete(null);
        }
    }

    /**
     * Closes the gate for good.
     *
     * @return completes when no work is inside any more.
     */
    public CompletableFuture<Void> close() {
        boolean last;
        synchronized (this) {
            closed = true;
            last = inside == 0;
        }
        if (last) {
            empty.complete(null);
        }
        return empty;
    }

    /**
     * Whether new work is refused.
     *
     * @return whether the gate is closed.
     */
    public synchronized boolean isClosed() {
        return closed;
    }

    /**
     * How much work is inside.
     *
     * @return the count.
     */
    public synchronized int inside() {
        return inside;
    }
}
