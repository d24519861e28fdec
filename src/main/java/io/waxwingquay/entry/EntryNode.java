package io.waxwingquay.entry;

import io.micrometer.core.instrument.MeterRegistry;
import io.waxwingquay.admission.Backoff;
import io.waxwingquay.admission.ComeBack;
import io.waxwingquay.admission.RetryBudget;
import io.waxwingquay.bundle.BundleSource;
import io.waxwingquay.claim.ClaimStore;
import io.waxwingquay.claim.GroupCommitter;
import io.waxwingquay.common.Clock;
import io.waxwingquay.common.DrainGate;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.membership.Membership;
import io.waxwingquay.membership.Side;
import io.waxwingquay.routing.LoadBoard;
import io.waxwingquay.routing.Policy;
import io.waxwingquay.routing.Router;
import io.waxwingquay.routing.SideIndex;
import io.waxwingquay.store.TableService;
import io.waxwingquay.suspect.SuspectBook;
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
 * An entry process: the callers' HTTP with admission, routing and claims behind it. It does not own the
 * collaborators that it was built with and does not close them.
 */
public final class EntryNode implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("waxwingquay.entry");
    private static final int FLOW_THREADS = 4;
    private static final int HTTP_THREADS = 24;
    private static final int RETRY_BURST = 20;
    private static final long FIRST_BACKOFF_MILLIS = 20;
    private static final long MAXIMUM_BACKOFF_MILLIS = 1_000;
    private static final long MINIMUM_COME_BACK_MILLIS = 250;
    private static final long MAXIMUM_COME_BACK_MILLIS = 10_000;
    private static final long IDLE_MARGIN_MILLIS = 30_000;
    private static final long FORGET_EVERY_MILLIS = 30_000;

    private final ScheduledThreadPoolExecutor executor;
    private final DrainGate gate = new DrainGate();
    private final LoadBoard board = new LoadBoard();
    private final AtomicBoolean closed = new AtomicBoolean();
    private final EntryParts parts;
    private final OutcomeWriter outcomes;
    private final Server server;
    private final ServerConnector connector;

    private EntryNode(Builder builder) {
        this.executor = new ScheduledThreadPoolExecutor(FLOW_THREADS, EntryNode::daemon);
        this.executor.setRemoveOnCancelPolicy(true);
        this.parts = parts(builder);
        GroupCommitter committer = new GroupCommitter(builder.table, builder.settings.claimBatch(), executor);
        ClaimStore store = new ClaimStore(committer);
        this.outcomes = new OutcomeWriter(parts, store, gate);
        ServiceFlow services = new ServiceFlow(parts, store, outcomes);
        this.server = new Server(httpThreads());
        this.connector = connector(builder.settings);
        server.addConnector(connector);
        server.setHandler(new CallersHandler(parts, builder.bundles, gate, new ModelFlow(parts), services));
        executor.scheduleWithFixedDelay(
                () -> forgetGoneSides(builder.membership),
                FORGET_EVERY_MILLIS,
                FORGET_EVERY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Starts to build an entry process.
     *
     * @return a builder.
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Starts to listen for callers.
     *
     * @return this process.
     * @throws EntryException if the address cannot be listened on.
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
     * Where callers reach it.
     *
     * @return the address, with the port in use.
     */
    public HostPort address() {
        return new HostPort(connector.getHost(), connector.getLocalPort());
    }

    /**
     * Load of the side processes as this process knows it, for dumps.
     *
     * @return the board.
     */
    public LoadBoard loadBoard() {
        return board;
    }

    /**
     * How many requests, and outcomes still to be recorded, are in flight.
     *
     * @return the number.
     */
    public long inFlight() {
        return gate.inFlight();
    }

    /**
     * What is left of the retry budget, for dumps.
     *
     * @return retries that may be sent now.
     */
    public double retriesLeft() {
        return parts.retryBudget().available();
    }

    /**
     * Outcomes of claimed calls that are still to be recorded in the table, for dumps.
     *
     * @return the number.
     */
    public int pendingOutcomes() {
        return outcomes.pending();
    }

    /**
     * Refuses new requests, waits for those in flight, and closes.
     *
     * @param limitMillis the longest wait.
     * @return whether everything in flight was finished.
     */
    public CompletableFuture<Boolean> drain(long limitMillis) {
        LOG.log(System.Logger.Level.INFO, "entry: draining, {0} in flight.", gate.inFlight());
        return gate.close()
                .thenApply(done -> true)
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
            LOG.log(System.Logger.Level.WARNING, "entry: HTTP server did not stop cleanly.", failure);
        } finally {
            executor.shutdownNow();
        }
    }

    private EntryParts parts(Builder builder) {
        EntryLimits settings = builder.settings;
        return new EntryParts(
                settings,
                builder.membership,
                builder.connections,
                board,
                new SideIndex.Latest(),
                new Router(Policy.named(settings.policy())),
                RetryBudget.of(settings.retryShare(), RETRY_BURST),
                new Backoff(FIRST_BACKOFF_MILLIS, MAXIMUM_BACKOFF_MILLIS),
                new ComeBack(MINIMUM_COME_BACK_MILLIS, MAXIMUM_COME_BACK_MILLIS, builder.clock.monotonicMillis()),
                builder.clock,
                builder.random,
                executor,
                new EntryMetrics(builder.meters),
                builder.suspects);
    }

    private void forgetGoneSides(Membership membership) {
        board.retain(membership.sides().stream().map(Side::id).collect(Collectors.toSet()));
    }

    private ServerConnector connector(EntryLimits settings) {
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        ServerConnector listening = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
        listening.setHost(settings.host());
        listening.setPort(settings.port());
        listening.setIdleTimeout(settings.maximumDeadlineMillis() + IDLE_MARGIN_MILLIS);
        return listening;
    }

    private static QueuedThreadPool httpThreads() {
        QueuedThreadPool threads = new QueuedThreadPool(HTTP_THREADS);
        threads.setName("entry-http");
        threads.setDaemon(true);
        return threads;
    }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(work, "entry-flow");
        thread.setDaemon(true);
        return thread;
    }

    /** Gathers what an entry process works with. */
    public static final class Builder {

        private EntryLimits settings;
        private BundleSource bundles;
        private Membership membership;
        private Connections connections;
        private TableService table;
        private MeterRegistry meters;
        private Clock clock = Clock.SYSTEM;
        private RandomGenerator random = new Random();

        private Optional<SuspectBook> suspects = Optional.empty();

        private Builder() {}

        /**
         * Sets what the process is told at its start.
         *
         * @param value the settings.
         * @return this builder.
         */
        public Builder settings(EntryLimits value) {
            this.settings = value;
            return this;
        }

        /**
         * Sets where the bundle in force comes from.
         *
         * @param value the source.
         * @return this builder.
         */
        public Builder bundles(BundleSource value) {
            this.bundles = value;
            return this;
        }

        /**
         * Sets what is known of the side processes.
         *
         * @param value the membership.
         * @return this builder.
         */
        public Builder membership(Membership value) {
            this.membership = value;
            return this;
        }

        /**
         * Sets how side processes are reached.
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
         * Sets where metrics go.
         *
         * @param value the registry.
         * @return this builder.
         */
        public Builder meters(MeterRegistry value) {
            this.meters = value;
            return this;
        }

        /**
         * Sets the time; the machine's by default.
         *
         * @param value the clock.
         * @return this builder.
         */
        public Builder clock(Clock value) {
            this.clock = value;
            return this;
        }

        /**
         * Sets the source of choices, which must be safe for concurrent use.
         *
         * @param value the source.
         * @return this builder.
         */
        public Builder random(RandomGenerator value) {
            this.random = value;
            return this;
        }

        /**
         * Sets the book by which quarantined completions are refused here; without it only the sides refuse them.
         *
         * @param value the book.
         * @return this builder.
         */
        public Builder suspects(SuspectBook value) {
            this.suspects = Optional.of(value);
            return this;
        }

        /**
         * Builds the process; it listens only once started.
         *
         * @return the process.
         */
        public EntryNode build() {
            Objects.requireNonNull(settings, "settings");
            Objects.requireNonNull(bundles, "bundles");
            Objects.requireNonNull(membership, "membership");
            Objects.requireNonNull(connections, "connections");
            Objects.requireNonNull(table, "table");
            Objects.requireNonNull(meters, "meters");
            return new EntryNode(this);
        }
    }
}
