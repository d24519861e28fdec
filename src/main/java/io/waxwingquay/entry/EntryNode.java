package io.waxwingquay.entry;

import io.micrometer.core.instrument.MeterRegistry;
import io.waxwingquay.admission.Backoff;
import io.waxwingquay.admission.RetryAfterEstimator;
import io.waxwingquay.admission.RetryBudget;
import io.waxwingquay.bundle.BundleSource;
import io.waxwingquay.claim.ClaimStore;
import io.waxwingquay.claim.GroupCommitter;
import io.waxwingquay.common.Clock;
import io.waxwingquay.common.DrainGate;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.membership.Membership;
import io.waxwingquay.membership.Side;
import io.waxwingquay.routing.LoadTracker;
import io.waxwingquay.routing.Router;
import io.waxwingquay.routing.RoutingPolicy;
import io.waxwingquay.routing.SideIndex;
import io.waxwingquay.store.TableService;
import io.waxwingquay.suspect.SuspectRegistry;
import io.waxwingquay.transport.Connections;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Runs an entry process: the HTTP server for callers, with admission control, routing and claims. It does not own the
 * collaborators that it was built with and does not close them.
 */
public final class EntryNode implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("waxwingquay.entry");
    private static final int DISPATCH_THREADS = 4;
    private static final int HTTP_THREADS = 24;
    private static final int RETRY_BURST = 20;
    private static final long INITIAL_BACKOFF_MILLIS = 20;
    private static final long MAXIMUM_BACKOFF_MILLIS = 1_000;
    private static final long MINIMUM_RETRY_AFTER_MILLIS = 250;
    private static final long MAXIMUM_RETRY_AFTER_MILLIS = 10_000;
    private static final long IDLE_TIMEOUT_MARGIN_MILLIS = 30_000;
    private static final long LOAD_BOARD_PRUNE_INTERVAL_MILLIS = 30_000;

    private final ScheduledThreadPoolExecutor executor;
    private final DrainGate gate = new DrainGate();
    private final Readiness readiness;
    private final LoadTracker loadBoard = new LoadTracker();
    private final AtomicBoolean closed = new AtomicBoolean();
    private final EntryComponents components;
    private final OutcomeWriter outcomeWriter;
    private final Server server;
    private final ServerConnector connector;

    private EntryNode(Builder builder) {
        this.executor = new ScheduledThreadPoolExecutor(DISPATCH_THREADS, EntryNode::daemonThread);
        this.executor.setRemoveOnCancelPolicy(true);
        this.components = components(builder);
        GroupCommitter committer =
                new GroupCommitter(builder.table, builder.configuration.maximumClaimBatchSize(), executor);
        ClaimStore claimStore = new ClaimStore(committer);
        this.outcomeWriter = new OutcomeWriter(components, claimStore, gate);
        ServiceDispatcher serviceDispatcher = new ServiceDispatcher(components, claimStore, outcomeWriter);
        this.readiness = new Readiness(builder.bundles, builder.membership, gate);
        this.server = new Server(httpThreads());
        this.connector = connector(builder.configuration);
        server.addConnector(connector);
        server.setHandler(new CallerHandler(
                components, builder.bundles, gate, readiness, new ModelDispatcher(components), serviceDispatcher));
        executor.scheduleWithFixedDelay(
                () -> pruneLoadBoard(builder.membership),
                LOAD_BOARD_PRUNE_INTERVAL_MILLIS,
                LOAD_BOARD_PRUNE_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Returns a builder of an entry process.
     *
     * @return a new builder.
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Starts to listen for callers.
     *
     * @return this process.
     * @throws EntryException if the address cannot be bound.
     */
    public EntryNode start() {
        try {
            server.start();
        } catch (Exception failure) {
            throw new EntryException(
                    "entry cannot listen on " + connector.getHost() + ":" + connector.getPort(), failure);
        }
        LOG.log(System.Logger.Level.INFO, "entry: listening for callers on {0}.", address());
        return this;
    }

    /**
     * Returns the address on which this process listens for callers.
     *
     * @return the address, with the actual port.
     */
    public HostPort address() {
        return new HostPort(connector.getHost(), connector.getLocalPort());
    }

    /**
     * Returns the load of the side processes as known to this process, for dumps.
     *
     * @return the load board.
     */
    public LoadTracker loadBoard() {
        return loadBoard;
    }

    /**
     * Returns why this process should get no callers.
     *
     * @return the reason, empty if it is ready.
     */
    public Optional<String> notReadyReason() {
        return readiness.notReadyReason();
    }

    /**
     * Returns the number of requests in flight and of outcomes still to be recorded.
     *
     * @return the number.
     */
    public long inFlight() {
        return gate.inFlight();
    }

    /**
     * Returns the remaining retry budget, for dumps.
     *
     * @return the number of retries that may be sent now.
     */
    public double retriesLeft() {
        return components.retryBudget().availableRetries();
    }

    /**
     * Returns the number of outcomes of claimed calls that are still to be recorded in the table, for dumps.
     *
     * @return the number.
     */
    public int pendingOutcomes() {
        return outcomeWriter.pending();
    }

    /**
     * Rejects new requests, waits for those in flight, and closes this process.
     *
     * @param limitMillis the maximum wait.
     * @return whether all requests in flight were finished.
     */
    public CompletableFuture<Boolean> drain(long limitMillis) {
        LOG.log(System.Logger.Level.INFO, "entry: draining, {0} in flight.", gate.inFlight());
        return gate.close()
                .thenApply(drained -> true)
                .completeOnTimeout(false, limitMillis, TimeUnit.MILLISECONDS)
                .thenApplyAsync(finished -> {
                    close();
                    return finished;
                });
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        try {
            server.stop();
        } catch (Exception failure) {
            LOG.log(System.Logger.Level.WARNING, "entry: the HTTP server did not stop cleanly.", failure);
        } finally {
            executor.shutdownNow();
        }
    }

    private EntryComponents components(Builder builder) {
        EntryConfiguration configuration = builder.configuration;
        return new EntryComponents(
                configuration,
                builder.membership,
                builder.connections,
                loadBoard,
                new SideIndex.Cache(),
                new Router(RoutingPolicy.named(configuration.routingPolicy())),
                RetryBudget.of(configuration.retryShare(), RETRY_BURST),
                new Backoff(INITIAL_BACKOFF_MILLIS, MAXIMUM_BACKOFF_MILLIS),
                new RetryAfterEstimator(
                        MINIMUM_RETRY_AFTER_MILLIS, MAXIMUM_RETRY_AFTER_MILLIS, builder.clock.monotonicMillis()),
                builder.clock,
                builder.random,
                executor,
                new EntryMetrics(builder.meters),
                builder.suspects);
    }

    private void pruneLoadBoard(Membership membership) {
        loadBoard.retain(membership.sides().stream().map(Side::id).collect(Collectors.toSet()));
    }

    private ServerConnector connector(EntryConfiguration configuration) {
        HttpConfiguration httpConfiguration = new HttpConfiguration();
        httpConfiguration.setSendServerVersion(false);
        ServerConnector serverConnector =
                new ServerConnector(server, 1, 1, new HttpConnectionFactory(httpConfiguration));
        serverConnector.setHost(configuration.host());
        serverConnector.setPort(configuration.port());
        serverConnector.setIdleTimeout(configuration.maximumDeadlineMillis() + IDLE_TIMEOUT_MARGIN_MILLIS);
        return serverConnector;
    }

    private static QueuedThreadPool httpThreads() {
        QueuedThreadPool threads = new QueuedThreadPool(HTTP_THREADS);
        threads.setName("entry-http");
        threads.setDaemon(true);
        return threads;
    }

    private static Thread daemonThread(Runnable work) {
        Thread thread = new Thread(work, "entry-flow");
        thread.setDaemon(true);
        return thread;
    }

    /** Builds an entry process from its collaborators. */
    public static final class Builder {

        private EntryConfiguration configuration;
        private BundleSource bundles;
        private Membership membership;
        private Connections connections;
        private TableService table;
        private MeterRegistry meters;
        private Clock clock = Clock.SYSTEM;
        private RandomGenerator random = new Random();

        private Optional<SuspectRegistry> suspects = Optional.empty();

        private Builder() {}

        /**
         * Sets the configuration.
         *
         * @param value the configuration.
         * @return this builder.
         */
        public Builder configuration(EntryConfiguration value) {
            this.configuration = value;
            return this;
        }

        /**
         * Sets the source of the bundle in force.
         *
         * @param value the source.
         * @return this builder.
         */
        public Builder bundles(BundleSource value) {
            this.bundles = value;
            return this;
        }

        /**
         * Sets the membership of the side processes.
         *
         * @param value the membership.
         * @return this builder.
         */
        public Builder membership(Membership value) {
            this.membership = value;
            return this;
        }

        /**
         * Sets the connections to side processes.
         *
         * @param value the connections.
         * @return this builder.
         */
        public Builder connections(Connections value) {
            this.connections = value;
            return this;
        }

        /**
         * Sets the platform's table service.
         *
         * @param value the client.
         * @return this builder.
         */
        public Builder table(TableService value) {
            this.table = value;
            return this;
        }

        /**
         * Sets the registry of the metrics.
         *
         * @param value the registry.
         * @return this builder.
         */
        public Builder meters(MeterRegistry value) {
            this.meters = value;
            return this;
        }

        /**
         * Sets the clock; the system clock by default.
         *
         * @param value the clock.
         * @return this builder.
         */
        public Builder clock(Clock value) {
            this.clock = value;
            return this;
        }

        /**
         * Sets the random generator, which must be safe for concurrent use.
         *
         * @param value the generator.
         * @return this builder.
         */
        public Builder random(RandomGenerator value) {
            this.random = value;
            return this;
        }

        /**
         * Sets the suspect book by which this process rejects quarantined completions. Without it, only the sides
         * reject them.
         *
         * @param value the book.
         * @return this builder.
         */
        public Builder suspects(SuspectRegistry value) {
            this.suspects = Optional.of(value);
            return this;
        }

        /**
         * Builds the process, which listens once it is started.
         *
         * @return the process.
         */
        public EntryNode build() {
            Objects.requireNonNull(configuration, "settings");
            Objects.requireNonNull(bundles, "bundles");
            Objects.requireNonNull(membership, "membership");
            Objects.requireNonNull(connections, "connections");
            Objects.requireNonNull(table, "table");
            Objects.requireNonNull(meters, "meters");
            return new EntryNode(this);
        }
    }
}
