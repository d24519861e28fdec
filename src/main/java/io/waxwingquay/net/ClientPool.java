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
    private final Deque<ClientConnection> idle = new ArrayDeque<>();
    private final Set<ClientConnection> all = new HashSet<>();
    private final Deque<Opening> openings = new ArrayDeque<>();
    private int maxConnections;
    private int connecting;

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
        return !idle.isEmpty() || all.size() + connecting < maxConnections;
    }

    /**
     * Sends a request over an idle connection or a new one.
     *
     * @param request the request.
     * @param listener told what comes back.
     * @return the call, to give it up.
     */
    public ClientCall send(ClientRequest request, ClientListener listener) {
        Opening opening = new Opening(request, listener);
        Optional<ClientConnection> ready = takeIdle(request.idempotent());
        if (ready.isPresent()) {
            opening.sendOver(ready.get());
            return opening;
        }
        if (all.size() + connecting >= maxConnections) {
            loop.execute(() -> opening.fail("all " + maxConnections + " connections are taken"));
            return opening;
        }
        openings.add(opening);
        connecting++;
        loop.connect(address, endPoint -> new ClientConnection(endPoint, loop, this), failure -> {
            connecting--;
            Optional.ofNullable(openings.poll()).ifPresent(first -> first.fail("no connection: " + failure));
        });
        return opening;
    }

    /**
     * How many requests run or wait here.
     *
     * @return the number.
     */
    public int busyCount() {
        return all.size() - idle.size() + connecting;
    }

    /** Gives back the requests that wait for a connection: the server is not to get them any more. */
    public void failWaiting() {
        openings.forEach(Opening::withdraw);
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        failWaiting();
        new ArrayList<>(idle).forEach(ClientConnection::close);
        idle.clear();
        maxConnections = 0;
    }

    void opened(ClientConnection connection) {
        connecting--;
        all.add(connection);
        Opening first = openings.poll();
        while (first != null && first.cancelled) {
            first = openings.poll();
        }
        if (first == null) {
            idle(connection);
            return;
        }
        first.sendOver(connection);
    }

    void idle(ClientConnection connection) {
        if (all.size() > maxConnections) {
            closed(connection);
            connection.close();
            return;
        }
        idle.push(connection);
    }

    void closed(ClientConnection connection) {
        all.remove(connection);
        idle.remove(connection);
    }

    private Optional<ClientConnection> takeIdle(boolean mayRepeat) {
        long nowMillis = EventLoop.nowMillis();
        for (ClientConnection connection : List.copyOf(idle)) {
            if (connection.isUsable(mayRepeat, nowMillis) && (mayRepeat || connection.isAlive())) {
                idle.remove(connection);
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    /** A request and, once there is one, its connection. */
    private final class Opening implements ClientCall {

        private final ClientRequest request;
        private final ClientListener listener;
        private ClientConnection connection;
        private boolean cancelled;

        private Opening(ClientRequest request, ClientListener listener) {
            this.request = request;
            this.listener = listener;
        }

        private void sendOver(ClientConnection over) {
            connection = over;
            over.send(request, listener);
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
        private void withdraw() {
            if (!cancelled) {
                cancelled = true;
                loop.execute(() -> listener.onFailure(false, "the server is not to be used any more"));
            }
        }

        private void fail(String why) {
            if (!cancelled) {
                listener.onFailure(false, why);
            }
        }
    }
}
