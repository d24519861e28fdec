package io.waxwingquay.net;

/**
 * Handles the requests of an {@link HttpServer}.
 */
@FunctionalInterface
public interface ServerHandler {

    /**
     * Handles a request; the response may be sent during this call or later.
     *
     * @param exchange the request and its response.
     */
    void handle(ServerExchange exchange);
}
