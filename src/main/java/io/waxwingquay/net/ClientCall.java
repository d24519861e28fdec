package io.waxwingquay.net;

/**
 * A request under way.
 */
public interface ClientCall {

    /** Gives the request up: its connection is closed, which ends the work of most peers. Nothing is told any more. */
    void cancel();

    /**
     * Whether the request has been handed to a connection.
     *
     * @return false while none of it can have left.
     */
    boolean mayHaveBeenSent();
}
