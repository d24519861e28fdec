package io.waxwingquay.net;

/**
 * Answers requests.
 */
@FunctionalInterface
public interface ServerHandler {

    /**
     * Takes a request; it is answered now or later, through the exchange.
     *
     * @param exchange the request and the way back.
     */
    void handle(ServerExchange exchange);
}
