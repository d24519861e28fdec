package io.waxwingquay.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;

/**
 * Takes requests on one address. All of it runs on the loop.
 */
public final class HttpServer {

    private static final long TIMEOUT_CHECK_MILLIS = 1_000L;
    private static final int INTERNAL_ERROR = 500;
    private static final System.Logger LOG = System.getLogger("waxwingquay.net");

    private final EventLoop loop;
    private final ServerHandler handler;
    private final Set<ServerConnection> connections = new HashSet<>();
    private ServerLimits limits = ServerLimits.DEFAULT;
    private boolean draining;

    private HttpServer(EventLoop loop, ServerHandler handler) {
        this.loop = loop;
        this.handler = handler;
    }

    /**
     * Starts to listen.
     *
     * @param loop where everything runs.
     * @param address the address to listen on.
     * @param handler answers the requests.
     * @return the server.
     */
    public static HttpServer listen(EventLoop loop, InetSocketAddress address, ServerHandler handler) {
        HttpServer server = new HttpServer(loop, handler);
        loop.listen(address, endPoint -> new ServerConnection(endPoint, loop, server));
        loop.execute(() -> loop.every(TIMEOUT_CHECK_MILLIS, server::checkTimeouts));
        return server;
    }

    /**
     * Sets what callers may send from now on.
     *
     * @param newLimits the limits.
     */
    public void updateLimits(ServerLimits newLimits) {
        this.limits = newLimits;
    }

    /** From now on each answer ends its connection. */
    public void startDraining() {
        draining = true;
    }

    /** Closes connections without a request. */
    public void closeIdle() {
        new ArrayList<>(connections).forEach(ServerConnection::closeIfIdle);
    }

    /**
     * How many connections are open.
     *
     * @return the number.
     */
    public int connectionCount() {
        return connections.size();
    }

    ServerLimits limits() {
        return limits;
    }

    boolean isDraining() {
        return draining;
    }

    void opened(ServerConnection connection) {
        connections.add(connection);
    }

    void closed(ServerConnection connection) {
        connections.remove(connection);
    }

    void handle(ServerExchange exchange) {
        try {
            handler.handle(exchange);
        } catch (RuntimeException failure) {
            LOG.log(System.Logger.Level.ERROR, "net: a request was not handled.", failure);
            exchange.respond(INTERNAL_ERROR, HttpFields.EMPTY, "the request was not handled");
        }
    }

    private void checkTimeouts() {
        long nowMillis = EventLoop.nowMillis();
        new ArrayList<>(connections).forEach(connection -> connection.checkTimeouts(nowMillis));
    }
}
