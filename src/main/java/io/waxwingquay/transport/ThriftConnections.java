package io.waxwingquay.transport;

import io.waxwingquay.common.HostPort;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ForkJoinPool;
import org.apache.thrift.async.TAsyncClientManager;

/**
 * {@link Connections} over Thrift's non-blocking client, so that no thread blocks for an answer.
 */
public final class ThriftConnections implements Connections {

    private final TAsyncClientManager manager;
    private final Settings settings;
    private final Map<HostPort, ThriftClient> clients = new ConcurrentHashMap<>();

    private ThriftConnections(TAsyncClientManager manager, Settings settings) {
        this.manager = manager;
        this.settings = settings;
    }

    /**
     * Creates a builder of connections.
     *
     * @return a builder with the defaults.
     */
    public static Builder builder() {
        return new Builder();
    }

    /** {@inheritDoc} */
    @Override
    public SideProtocol to(HostPort address) {
        return clients.computeIfAbsent(address, key -> new ThriftClient(key, manager, settings));
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        clients.values().forEach(ThriftClient::close);
        manager.stop();
    }

    /**
     * The settings shared by all clients.
     *
     * @param callTimeoutMillis the timeout of calls that are answered at once.
     * @param graceMillis how much longer than a poll's own wait its answer may take.
     * @param idleLimit the maximum number of idle connections to each process.
     * @param executor runs the stages that depend on an answer, outside of the selector thread.
     * @param observer observes each finished call.
     */
    record Settings(
            long callTimeoutMillis, long graceMillis, int idleLimit, Executor executor, CallObserver observer) {}

    /** A builder of {@link ThriftConnections}. */
    public static final class Builder {

        private static final long DEFAULT_CALL_TIMEOUT_MILLIS = 1_000L;
        private static final long DEFAULT_GRACE_MILLIS = 500L;
        private static final int DEFAULT_IDLE_LIMIT = 32;

        private long callTimeoutMillis = DEFAULT_CALL_TIMEOUT_MILLIS;
        private long graceMillis = DEFAULT_GRACE_MILLIS;
        private Executor executor = ForkJoinPool.commonPool();
        private CallObserver observer = CallObserver.DISABLED;

        private Builder() {}

        /**
         * Sets the timeout of calls that are answered at once.
         *
         * @param value milliseconds, 1 or above.
         * @return this builder.
         */
        public Builder callTimeoutMillis(long value) {
            this.callTimeoutMillis = value;
            return this;
        }

        /**
         * Sets how much longer than the poll's own wait its answer may take.
         *
         * @param value milliseconds, 1 or above.
         * @return this builder.
         */
        public Builder graceMillis(long value) {
            this.graceMillis = value;
            return this;
        }

        /**
         * Sets the executor of the stages that depend on an answer.
         *
         * @param value the executor.
         * @return this builder.
         */
        public Builder executor(Executor value) {
            this.executor = value;
            return this;
        }

        /**
         * Sets who learns of each finished call.
         *
         * @param value the observer.
         * @return this builder.
         */
        public Builder observer(CallObserver value) {
            this.observer = value;
            return this;
        }

        /**
         * Builds the connections and starts their selector thread.
         *
         * @return the connections.
         * @throws TransportException if no selector can be opened.
         */
        public ThriftConnections build() {
            try {
                return new ThriftConnections(
                        new TAsyncClientManager(),
                        new Settings(callTimeoutMillis, graceMillis, DEFAULT_IDLE_LIMIT, executor, observer));
            } catch (IOException failure) {
                throw new TransportException(false, "cannot open a selector for connections", failure);
            }
        }
    }
}
