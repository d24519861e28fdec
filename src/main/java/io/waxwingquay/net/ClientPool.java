package io.waxwingquay.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Connections to one server. The one used last is used first, so that a quiet time lets the others go.
 */
public final class ClientPool implements AutoCloseable {

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Deque<ClientConnection> idleConnections = new ArrayDeque<>();
    private final Set<ClientConnection> connections = new HashSet<>();
    private final Deque<PendingCall> pendingCalls = new ArrayDeque<>();
    private int maxConnections;
    private int connectingCount;

    /**
     * A pool without a connection yet.
     *
     * @param loop where everything runs.
     * @param address the server.
     * @param limit the most connections at once.
     */
    public ClientPool(EventLoop loop, InetSocketAddress address, int limit) {
        this.loop = loop;
        this.address = address;
        this.maxConnections = limit;
    }

    /**
     * Sets the most connections at once; those beyond it end with their requests.
     *
     * @param newLimit the number.
     */
    public void maxConnections(int newLimit) {
        this.maxConnections = newLimit;
    }

    /**
     * Whether a request could be sent at once.
     *
     * @return whether a connection is idle or may be opened.
     */
    public boolean hasCapacity() {
        return !idleConnections.isEmpty() || connections.size() + connectingCount < maxConnections;
    }

    /**
     * Sends a request over an idle connection or a new one.
     *
     * @param request the request.
     * @param listener told what comes back.
     * @return the call, to give it up.
     */
    public ClientCall send(ClientRequest request, ClientListener listener) {
        PendingCall call = new PendingCall(request, listener);
        Optional<ClientConnection> idleConnection = takeIdle(request.idempotent());
        if (idleConnection.isPresent()) {
            call.sendOver(idleConnection.get());
            return call;
        }
        if (connections.size() + connectingCount >= maxConnections) {
            loop.execute(() -> call.fail("all " + maxConnections + " connections are taken"));
            return call;
        }
        pendingCalls.add(call);
        connectingCount++;
        loop.connect(address, endPoint -> new ClientConnection(endPoint, loop, this), failure -> {
            connectingCount--;
            Optional.ofNullable(pendingCalls.poll()).ifPresent(first -> first.fail("no connection: " + failure));
        });
        return call;
    }

    /**
     * How many requests run or wait here.
     *
     * @return the number.
     */
    public int busyCount() {
        return connections.size() - idleConnections.size() + connectingCount;
    }

    /** Gives back the requests that wait for a connection: the server is not to get them any more. */
    public void failWaiting() {
        pendingCalls.forEach(PendingCall::failLater);
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        failWaiting();
        new ArrayList<>(idleConnections).forEach(ClientConnection::close);
        idleConnections.clear();
        maxConnections = 0;
    }

    void onOpened(ClientConnection connection) {
        connectingCount--;
        connections.add(connection);
        PendingCall first = pendingCalls.poll();
        while (first != null && first.cancelled) {
            first = pendingCalls.poll();
        }
        if (first == null) {
            release(connection);
            return;
        }
        first.sendOver(connection);
    }

    void release(ClientConnection connection) {
        if (connections.size() > maxConnections) {
            onClosed(connection);
            connection.close();
            return;
        }
        idleConnections.push(connection);
    }

    void onClosed(ClientConnection connection) {
        connections.remove(connection);
        idleConnections.remove(connection);
    }

    private Optional<ClientConnection> takeIdle(boolean idempotent) {
        long nowMillis = EventLoop.nowMillis();
        for (ClientConnection connection : List.copyOf(idleConnections)) {
            if (connection.isUsable(idempotent, nowMillis) && (idempotent || connection.readAndCheckOpen())) {
                idleConnections.remove(connection);
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    /** A request and, once there is one, its connection. */
    private final class PendingCall implements ClientCall {

        private final ClientRequest request;
        private final ClientListener listener;
        private ClientConnection connection;
        private boolean cancelled;

        private PendingCall(ClientRequest request, ClientListener listener) {
            this.request = request;
            this.listener = listener;
        }

        private void sendOver(ClientConnection assigned) {
            connection = assigned;
            assigned.send(request, listener);
        }

        /** {@inheritDoc} */
        @Override
        public boolean mayHaveBeenSent() {
            return connection != null;
        }

        /** {@inheritDoc} */
        @Override
        public void cancel() {
            cancelled = true;
            if (connection != null) {
                connection.cancel(listener);
            }
        }

        /** The listener is told later, as it may well ask for another connection. */
        private void failLater() {
            if (!cancelled) {
                cancelled = true;
                loop.execute(() -> listener.onFailure(false, "the server is not to be used any more"));
            }
        }

        private void fail(String reason) {
            if (!cancelled) {
                listener.onFailure(false, reason);
            }
        }
    }
}
