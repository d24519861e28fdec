package io.waxwingquay.observe;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Optional;
import java.util.function.Supplier;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * The HTTP server for operators: {@code GET /metrics}, {@code /dump}, {@code /healthz} and {@code /readyz}, and
 * {@code POST /shutdown}, which starts a graceful drain. It has no access control and must listen on a network that
 * callers can't reach.
 */
public final class AdminServer implements AutoCloseable {

    private static final int MAX_THREADS = 8;
    private static final int MIN_THREADS = 2;

    private final Server server;
    private final ServerConnector connector;

    private AdminServer(Builder builder) {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("admin");
        threads.setDaemon(true);
        this.server = new Server(threads);
        this.connector = new ServerConnector(server, 1, 1);
        connector.setHost(builder.host);
        connector.setPort(builder.port);
        server.addConnector(connector);
        server.setHandler(new AdminHandler(builder.registry, builder.dump, builder.notReady, builder.drain));
    }

    /**
     * Creates a builder of a server.
     *
     * @param registry the meters exposed at {@code /metrics}.
     * @param dump the state exposed at {@code /dump}.
     * @return the builder.
     */
    public static Builder builder(PrometheusMeterRegistry registry, StateDump dump) {
        return new Builder(registry, dump);
    }

    /**
     * Returns the TCP port that the server listens on.
     *
     * @return the port, also if the operating system chose it.
     */
    public int port() {
        return connector.getLocalPort();
    }

    /** Stops the server. */
    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("the admin port could not be closed", failure);
        }
    }

    private AdminServer start() {
        try {
            server.start();
            return this;
        } catch (Exception failure) {
            throw new IllegalStateException(
                    "the admin port " + connector.getHost() + ":" + connector.getPort() + " could not be opened",
                    failure);
        }
    }

    /** Builder of a server. */
    public static final class Builder {

        private final PrometheusMeterRegistry registry;
        private final StateDump dump;
        private String host = "127.0.0.1";
        private int port;
        private Supplier<Optional<String>> notReady = Optional::empty;
        private Runnable drain = () -> {};

        private Builder(PrometheusMeterRegistry registry, StateDump dump) {
            this.registry = registry;
            this.dump = dump;
        }

        /**
         * Sets the address that the server listens on; by default a free port of the loopback interface.
         *
         * @param ipNumber the IP address.
         * @param tcpPort the TCP port; 0 lets the operating system choose.
         * @return this builder.
         */
        public Builder listen(String ipNumber, int tcpPort) {
            this.host = ipNumber;
            this.port = tcpPort;
            return this;
        }

        /**
         * Sets the readiness that {@code /readyz} reports; by default the process is ready.
         *
         * @param reason supplies why the process is not ready, or empty if it is ready.
         * @return this builder.
         */
        public Builder notReady(Supplier<Optional<String>> reason) {
            this.notReady = reason;
            return this;
        }

        /**
         * Sets the action that {@code POST /shutdown} starts; it runs once, on a thread of its own.
         *
         * @param action drains the process.
         * @return this builder.
         */
        public Builder drain(Runnable action) {
            this.drain = action;
            return this;
        }

        /**
         * Starts the server.
         *
         * @return the running server.
         * @throws IllegalStateException if the port can't be opened.
         */
        public AdminServer start() {
            return new AdminServer(this).start();
        }
    }
}
