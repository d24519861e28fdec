package io.waxwingquay.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;

/**
 * An HTTP server that listens on one address. All methods run on the loop.
 */
public final class HttpServer {

    private static final long TIMEOUT_CHECK_MILLIS = 1_000L;
    private static final int INTERNAL_ERROR = 500;
    private static final System.Logger LOG = System.getLogger("waxwingquay.net");

    private final EventLoop loop;
    private final ServerHandler handler;
    private final ConnectionPolicy policy;
    private final ServerMemory memory;
    private final BackPressure backPressure;
    private final Set<ServerConnection> connections = new HashSet<>();
    private ServerLimits limits = ServerLimits.DEFAULT;
    private InetSocketAddress address;
    private boolean draining;
    private long refusedCount;

    private HttpServer(EventLoop loop, ConnectionPolicy policy, ServerMemory memory, ServerHandler handler) {
        this.loop = loop;
        this.policy = policy;
        this.memory = memory;
        this.backPressure = new BackPressure(memory.budget(), EventLoop::nowMillis, loop::schedule);
        this.handler = handler;
    }

    /**
     * Starts a server that takes every connection.
     *
     * @param loop the event loop on which everything runs.
     * @param address the address to listen on.
     * @param handler answers the requests.
     * @return the running server.
     */
    public static HttpServer listen(EventLoop loop, InetSocketAddress address, ServerHandler handler) {
        return listen(loop, address, ConnectionPolicy.ALWAYS, handler);
    }

    /**
     * Starts a server whose use of memory is not limited.
     *
     * @param loop the event loop on which everything runs.
     * @param address the address to listen on.
     * @param policy decides which connections are taken and kept.
     * @param handler answers the requests.
     * @return the running server.
     */
    public static HttpServer listen(
            EventLoop loop, InetSocketAddress address, ConnectionPolicy policy, ServerHandler handler) {
        return listen(loop, address, policy, ServerMemory.unlimited(), handler);
    }

    /**
     * Starts a server.
     *
     * @param loop the event loop on which everything runs.
     * @param address the address to listen on.
     * @param policy decides which connections are taken and kept.
     * @param memory the memory that it may use for its callers.
     * @param handler answers the requests.
     * @return the running server.
     */
    public static HttpServer listen(
            EventLoop loop,
            InetSocketAddress address,
            ConnectionPolicy policy,
            ServerMemory memory,
            ServerHandler handler) {
        HttpServer server = new HttpServer(loop, policy, memory, handler);
        int port = loop.listen(address, endPoint -> new ServerConnection(endPoint, loop, server));
        server.address = new InetSocketAddress(address.getAddress(), port);
        loop.execute(() -> loop.every(TIMEOUT_CHECK_MILLIS, server::checkTimeouts));
        return server;
    }

    /**
     * Replaces the limits on requests and connections.
     *
     * @param newLimits the limits to apply from now on.
     */
    public void updateLimits(ServerLimits newLimits) {
        this.limits = newLimits;
    }

    /** Closes each connection after its next response from now on. */
    public void startDraining() {
        draining = true;
    }

    /** Closes all connections that have no request. */
    public void closeIdle() {
        new ArrayList<>(connections).forEach(ServerConnection::closeIfIdle);
    }

    /**
     * Accepts no further connections: those that the kernel would accept for a process that exits could only be reset,
     * while callers that can't connect turn to another server at once.
     */
    public void stopListening() {
        loop.stopListening(address);
    }

    /** Rejects all requests that are still being received, as they would be cut off by the exit of this process. */
    public void rejectIncomplete() {
        new ArrayList<>(connections).forEach(ServerConnection::rejectIfReceiving);
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number of connections.
     */
    public int connectionCount() {
        return connections.size();
    }

    /**
     * Returns the number of connections over which a request is being received.
     *
     * @return the number of requests that are incomplete.
     */
    public long receivingCount() {
        return connections.stream().filter(ServerConnection::isReceiving).count();
    }

    /**
     * Returns the number of connections over which a response is being sent that is complete here.
     *
     * @return the number of responses that their callers have not accepted yet.
     */
    public long sendingCount() {
        return connections.stream().filter(ServerConnection::isSending).count();
    }

    ServerLimits limits() {
        return limits;
    }

    ServerMemory memory() {
        return memory;
    }

    BackPressure backPressure() {
        return backPressure;
    }

    boolean isDraining() {
        return draining;
    }

    /** Returns whether requests are taken on a connection that has just been opened. */
    boolean takesConnection() {
        boolean isTaken = policy.accepts(EventLoop.nowMillis());
        refusedCount += isTaken ? 0 : 1;
        return isTaken;
    }

    /** Returns when the caller of a connection that is not taken may open another one. */
    long retryAfterMillis() {
        return policy.retryAfterMillis(EventLoop.nowMillis());
    }

    /**
     * Returns how many connections were not taken so far.
     *
     * @return the number of connections.
     */
    public long refusedCount() {
        return refusedCount;
    }

    /** Returns whether a connection stays open after the response that begins now. */
    boolean keepsConnections() {
        return !draining && policy.keeps(EventLoop.nowMillis());
    }

    void onOpened(ServerConnection connection) {
        connections.add(connection);
    }

    void onClosed(ServerConnection connection) {
        connections.remove(connection);
    }

    void handle(ServerExchange exchange) {
        try {
            handler.handle(exchange);
        } catch (RuntimeException failure) {
            LOG.log(System.Logger.Level.ERROR, "net: handling a request failed.", failure);
            exchange.respond(INTERNAL_ERROR, HttpFields.EMPTY, "handling the request failed");
        }
    }

    private void checkTimeouts() {
        long nowMillis = EventLoop.nowMillis();
        new ArrayList<>(connections).forEach(connection -> connection.checkTimeouts(nowMillis));
    }
}
