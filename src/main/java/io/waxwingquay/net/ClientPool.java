package io.waxwingquay.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * A pool of connections to one server. The most recently used connection is reused first, so that surplus connections
 * become idle and expire when load is low.
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
     * Creates a pool without connections.
     *
     * @param loop the event loop on which everything runs.
     * @param address the server's address.
     * @param maxConnections the maximum number of concurrent connections.
     */
    public ClientPool(EventLoop loop, InetSocketAddress address, int maxConnections) {
        this.loop = loop;
        this.address = address;
        this.maxConnections = maxConnections;
    }

    /**
     * Sets the maximum number of concurrent connections. Connections beyond it are closed once their requests end.
     *
     * @param newMaxConnections the number of connections.
     */
    public void maxConnections(int newMaxConnections) {
        this.maxConnections = newMaxConnections;
    }

    /**
     * Returns whether a request could be sent without waiting for another one to end.
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
     * @param listener receives the response.
     * @return the call, by which it can be cancelled.
     */
    public ClientCall send(ClientRequest request, ClientListener listener) {
        PendingCall call = new PendingCall(request, listener);
        Optional<ClientConnection> idleConnection = takeIdle(request.idempotent());
        if (idleConnection.isPresent()) {
            call.sendOver(idleConnection.get());
            return call;
        }
        if (connections.size() + connectingCount >= maxConnections) {
            loop.execute(() -> call.fail("all " + maxConnections + " connections are in use"));
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
     * Returns the number of requests that run or wait for a connection.
     *
     * @return the number of requests.
     */
    public int busyCount() {
        return connections.size() - idleConnections.size() + connectingCount;
    }

    /**
     * Returns when the oldest connection was opened of those that are read, so that their end is noticed.
     *
     * @return the monotonic time; empty if no such connection is open.
     */
    public OptionalLong oldestConnectionMillis() {
        return connections.stream()
                .filter(ClientConnection::acceptsInput)
                .mapToLong(ClientConnection::openedMillis)
                .min();
    }

    /** Fails all requests that wait for a connection, so that they are no longer sent to this server. */
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

    /** A request with the connection that it is sent over, once one is assigned. */
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
        public OptionalLong connectionOpenedMillis() {
            return connection == null ? OptionalLong.empty() : OptionalLong.of(connection.openedMillis());
        }

        /** {@inheritDoc} */
        @Override
        public void cancel() {
            cancelled = true;
            if (connection != null) {
                connection.cancel(listener);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void pauseReading() {
            if (connection != null) {
                connection.pauseReading(listener);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void resumeReading() {
            if (connection != null) {
                connection.resumeReading(listener);
            }
        }

        /** Notifies the listener in a later task, as it may request another connection from this pool. */
        private void failLater() {
            if (!cancelled) {
                cancelled = true;
                loop.execute(() -> listener.onFailure(false, "the server is no longer in use"));
            }
        }

        private void fail(String reason) {
            if (!cancelled) {
                listener.onFailure(false, reason);
            }
        }
    }
}
