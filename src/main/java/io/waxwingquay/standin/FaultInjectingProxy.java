package io.waxwingquay.standin;

import io.waxwingquay.common.HostPort;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * A TCP proxy between two processes that simulates network faults: closed, black-holed and slow connections.
 */
public final class FaultInjectingProxy implements AutoCloseable {

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int DIRECTIONS = 2;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private final HostPort destination;
    private final ServerSocket serverSocket;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private volatile State state = State.CONNECTED;
    private volatile long delayMillis;

    private FaultInjectingProxy(HostPort listen, HostPort destination) throws IOException {
        this.destination = destination;
        this.serverSocket = new ServerSocket();
        serverSocket.setReuseAddress(true);
        serverSocket.bind(new InetSocketAddress(InetAddress.getByName(listen.host()), listen.port()));
        startDaemon("link-accept", this::acceptConnections);
    }

    private enum State {
        CONNECTED,
        DISCONNECTED,
        BLACKHOLED
    }

    /**
     * Starts a proxy on a free port of 127.0.0.1.
     *
     * @param destination the address that connections are forwarded to.
     * @return the listening proxy.
     */
    public static FaultInjectingProxy to(HostPort destination) {
        return between(new HostPort("127.0.0.1", 0), destination);
    }

    /**
     * Starts a proxy.
     *
     * @param listen the address to listen on; port 0 selects a free port.
     * @param destination the address that connections are forwarded to.
     * @return the listening proxy.
     */
    public static FaultInjectingProxy between(HostPort listen, HostPort destination) {
        try {
            return new FaultInjectingProxy(listen, destination);
        } catch (IOException failure) {
            throw new IllegalStateException("fault-injecting proxy cannot listen on " + listen, failure);
        }
    }

    /**
     * Returns the port that the proxy listens on.
     *
     * @return the port.
     */
    public int port() {
        return serverSocket.getLocalPort();
    }

    /**
     * Returns the number of open connections, black-holed ones included.
     *
     * @return the number of open connections.
     */
    public int openConnections() {
        return connections.size();
    }

    /** Closes every open connection, and each new one immediately, until {@link #heal()}. */
    public void disconnect() {
        state = State.DISCONNECTED;
        connections.forEach(Connection::close);
    }

    /** Closes every open connection; new ones are forwarded. */
    public void closeOpen() {
        connections.forEach(Connection::close);
    }

    /** Black-holes every open connection permanently, in both directions; new ones are forwarded. */
    public void blackholeOpen() {
        connections.forEach(Connection::blackhole);
    }

    /** Black-holes every open connection permanently, and each new one until {@link #heal()} ends this state. */
    public void blackholeAll() {
        state = State.BLACKHOLED;
        blackholeOpen();
    }

    /** Forwards new connections again. */
    public void heal() {
        state = State.CONNECTED;
    }

    /**
     * Sets the delay of data forwarded from now on.
     *
     * @param millis the delay of each chunk in each direction.
     */
    public void delayMillis(long millis) {
        this.delayMillis = millis;
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        state = State.DISCONNECTED;
        closeQuietly(serverSocket);
        connections.forEach(Connection::close);
    }

    private void acceptConnections() {
        while (!serverSocket.isClosed()) {
            try {
                acceptConnection(serverSocket.accept());
            } catch (IOException failure) {
                continue;
            }
        }
    }

    private void acceptConnection(Socket client) throws IOException {
        if (state == State.DISCONNECTED) {
            closeQuietly(client);
            return;
        }
        Socket server = new Socket();
        Connection connection = new Connection(client, server);
        connections.add(connection);
        if (state == State.BLACKHOLED) {
            connection.blackhole();
        }
        startDaemon("link", connection::connect);
    }

    private static void startDaemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception failure) {
            System.getLogger("waxwingquay.standin")
                    .log(System.Logger.Level.DEBUG, "standin: a socket of a proxy did not close.", failure);
        }
    }

    private final class Connection {

        private final Socket client;
        private final Socket server;
        private final AtomicInteger endedDirections = new AtomicInteger();
        private volatile boolean blackholed;

        private Connection(Socket client, Socket server) {
            this.client = client;
            this.server = server;
        }

        private void connect() {
            try {
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                server.connect(new InetSocketAddress(destination.host(), destination.port()), CONNECT_TIMEOUT_MILLIS);
                startDaemon("link-back", () -> copy(server, client));
                copy(client, server);
            } catch (IOException failure) {
                close();
            }
        }

        private void blackhole() {
            blackholed = true;
        }

        /**
         * Copies bytes in one direction until its end. A black-holed connection discards all bytes and hides even that
         * either end has closed, so that neither end detects the fault.
         */
        private void copy(Socket from, Socket to) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream input = from.getInputStream();
                OutputStream output = to.getOutputStream();
                for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                    forward(output, buffer, count);
                }
            } catch (IOException failure) {
                System.getLogger("waxwingquay.standin")
                        .log(System.Logger.Level.DEBUG, "standin: a proxied connection ended.", failure);
            }
            if (!blackholed || endedDirections.incrementAndGet() == DIRECTIONS) {
                close();
            }
        }

        private void forward(OutputStream output, byte[] buffer, int count) throws IOException {
            if (delayMillis > 0) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(delayMillis));
            }
            if (!blackholed) {
                output.write(buffer, 0, count);
                output.flush();
            }
        }

        private void close() {
            connections.remove(this);
            closeQuietly(client);
            closeQuietly(server);
        }
    }
}
