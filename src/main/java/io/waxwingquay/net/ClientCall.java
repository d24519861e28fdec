package io.waxwingquay.net;

import java.util.OptionalLong;

/**
 * A request in progress.
 */
public interface ClientCall {

    /** Cancels the request and closes its connection, at which most peers stop working on it. No callback follows. */
    void cancel();

    /**
     * Stops reading the response, which stays with the server and in the kernel. Neither its end nor a failure of the
     * connection is noticed meanwhile.
     */
    void pauseReading();

    /** Continues to read the response. */
    void resumeReading();

    /**
     * Returns whether the request has been handed to a connection.
     *
     * @return {@code false} while certainly no byte of it has been sent.
     */
    boolean mayHaveBeenSent();

    /**
     * Returns when the connection of the request was opened.
     *
     * @return the monotonic time; empty while the request waits for a connection.
     */
    OptionalLong connectionOpenedMillis();
}
