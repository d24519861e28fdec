package io.waxwingquay.net;

/**
 * A request in progress.
 */
public interface ClientCall {

    /** Cancels the request and closes its connection, at which most peers stop working on it. No callback follows. */
    void cancel();

    /**
     * Returns whether the request has been handed to a connection.
     *
     * @return {@code false} while certainly no byte of it has been sent.
     */
    boolean mayHaveBeenSent();
}
