package io.waxwingquay.process;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.BundleArchive;
import io.waxwingquay.bundle.BundleFeed;
import io.waxwingquay.bundle.BundleHolder;
import io.waxwingquay.bundle.TrustedKeys;
import io.waxwingquay.common.Clock;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import io.waxwingquay.membership.Gossip;
import io.waxwingquay.membership.MemberTable;
import io.waxwingquay.membership.Peers;
import io.waxwingquay.membership.VmWatch;
import io.waxwingquay.observe.AdminServer;
import io.waxwingquay.observe.ProcessMeters;
import io.waxwingquay.observe.StateDump;
import io.waxwingquay.settings.ProcessSettings;
import io.waxwingquay.store.HttpObjectStore;
import io.waxwingquay.store.HttpTableService;
import io.waxwingquay.store.HttpVmList;
import io.waxwingquay.store.TableService;
import io.waxwingquay.store.VmList;
import io.waxwingquay.suspect.SuspectTable;
import io.waxwingquay.transport.Connections;
import io.waxwingquay.transport.ThriftConnections;
import io.waxwingquay.transport.ThriftServer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.client.HttpClient;

/**
 * Components that entries and sides share: platform clients, peers, membership, gossip and the bundle in force.
 */
final class ProcessRuntime implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("waxwingquay.process");
    private static final int SCHEDULER_THREADS = 2;
    private static final int NON_READER_POLL_INTERVALS = 30;
    private static final int MAX_HTTP_CONNECTIONS_PER_TARGET = 512;
    private static final long CONNECT_TIMEOUT_MILLIS = 500L;
    private static final long SUSPECT_RETENTION_MILLIS = 600_000L;
    private static final int MAX_SUSPECTS = 4_096;
    private static final long VM_LIST_INTERVAL_MILLIS = 2_000L;

    private final CompletableFuture<Void> closed = new CompletableFuture<>();
    private final Deque<AutoCloseable> closeables = new ArrayDeque<>();
    private final ProcessSettings settings;
    private final Clock clock = Clock.SYSTEM;
    private final RandomGenerator random;
    private final PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final ProcessMeters processMeters = new ProcessMeters(meters, clock);
    private final ScheduledExecutorService scheduler;
    private final HttpClient http;
    private final TableService table;
    private final Connections connections;
    private final ThriftServer server;
    private final MemberTable members;
    private final Peers peers;
    private final SuspectTable suspects;
    private final BundleHolder bundles;
    private final BundleFeed feed;
    private final Gossip gossip;
    private final VmWatch vmWatch;
    private Optional<AdminServer> admin = Optional.empty();

    ProcessRuntime(ProcessSettings settings, String role, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        HostPort platform = new HostPort(
                settings.platformUrl().getHost(), settings.platformUrl().getPort());
        this.scheduler = scheduler(settings.name());
        closeables.push(scheduler::shutdownNow);
        this.http = HttpCalls.startClient(MAX_HTTP_CONNECTIONS_PER_TARGET, CONNECT_TIMEOUT_MILLIS);
        closeables.push(http::stop);
        this.table = new HttpTableService(http, platform, settings.tableTimeoutMillis());
        this.connections = registerCloseable(
                ThriftConnections.builder().observer(processMeters::countCall).build());
        this.server = registerCloseable(ThriftServer.bind(new HostPort(settings.host(), settings.thriftPort())));
        this.members = new MemberTable(clock, MemberTable.Timing.DEFAULT);
        HostPort address = server.address();
        this.peers =
                new Peers(new Peers.Peer(settings.name(), address, settings.dataCentre()), members, settings.seeds());
        this.suspects = new SuspectTable(clock, SUSPECT_RETENTION_MILLIS, MAX_SUSPECTS);
        this.bundles = new BundleHolder(TrustedKeys.ofRoots(settings.trustedKeys()));
        PeerBundleFetcher bundleFetcher = new PeerBundleFetcher(peers, connections, random);
        HttpObjectStore objects = new HttpObjectStore(http, platform, settings.tableTimeoutMillis());
        this.feed = registerCloseable(BundleFeed.builder(bundles, new BundleArchive(table, objects))
                .peers(bundleFetcher)
                .schedule(scheduler, settings.bundlePollMillis())
                .pollEveryInterval(this::isReader, NON_READER_POLL_INTERVALS, random.nextInt(NON_READER_POLL_INTERVALS))
                .build());
        this.gossip = gossip(bundleFetcher);
        VmList.Vm self =
                new VmList.Vm(settings.name(), address.host(), address.port(), settings.dataCentre(), role, false);
        VmList vmList = new HttpVmList(http, platform, settings.tableTimeoutMillis());
        this.vmWatch = new VmWatch(vmList, peers, connections, clock, random, self, VM_LIST_INTERVAL_MILLIS);
    }

    /** Starts to track the bundle, the peers and the VM list. */
    void start() {
        bundles.onAdopted(bundle -> gossip.expedite());
        feed.start();
        closeables.push(gossip.start(scheduler));
        closeables.push(vmWatch.start(scheduler));
    }

    /**
     * Starts the admin server for operators.
     *
     * @param notReady returns why the process is not ready, or empty if it is.
     * @param drain starts a graceful shutdown.
     * @param sections adds the sections of the role to the state dump.
     */
    void startAdminServer(Supplier<Optional<String>> notReady, Runnable drain, Consumer<StateDump> sections) {
        StateDump dump = new StateDump()
                .section("settings", () -> settings)
                .section("bundle", () -> bundleState())
                .section("members", members::sides)
                .section("peers", peers::all)
                .section("suspects", suspects::snapshot);
        sections.accept(dump);
        processMeters.registerBundle(bundles);
        admin = Optional.of(registerCloseable(AdminServer.builder(meters, dump)
                .listen(settings.host(), settings.adminPort())
                .notReady(notReady)
                .drain(drain)
                .start()));
        LOG.log(System.Logger.Level.INFO, () -> "process: listening for operators on port " + adminPort() + ".");
    }

    CompletableFuture<Void> closed() {
        return closed.copy();
    }

    int adminPort() {
        return admin.map(AdminServer::port).orElse(0);
    }

    ProcessSettings settings() {
        return settings;
    }

    Clock clock() {
        return clock;
    }

    RandomGenerator random() {
        return random;
    }

    PrometheusMeterRegistry meters() {
        return meters;
    }

    ScheduledExecutorService scheduler() {
        return scheduler;
    }

    HttpClient http() {
        return http;
    }

    TableService table() {
        return table;
    }

    Connections connections() {
        return connections;
    }

    ThriftServer server() {
        return server;
    }

    MemberTable members() {
        return members;
    }

    SuspectTable suspects() {
        return suspects;
    }

    BundleHolder bundles() {
        return bundles;
    }

    BundleFeed feed() {
        return feed;
    }

    Gossip gossip() {
        return gossip;
    }

    VmWatch vmWatch() {
        return vmWatch;
    }

    /**
     * Registers a resource to be closed together with this runtime, before all that were registered earlier.
     *
     * @param <T> the type of the resource.
     * @param closeable the resource.
     * @return the resource.
     */
    <T extends AutoCloseable> T registerCloseable(T closeable) {
        closeables.push(closeable);
        return closeable;
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        while (!closeables.isEmpty()) {
            closeOne(closeables.pop());
        }
        closed.complete(null);
    }

    private static void closeOne(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception failure) {
            LOG.log(System.Logger.Level.WARNING, "process: a component failed to close.", failure);
        }
    }

    private boolean isReader() {
        return vmWatch.isReader();
    }

    private Gossip gossip(PeerBundleFetcher bundleFetcher) {
        Gossip.Timing pace = Gossip.Timing.DEFAULT.withUrgentIntervalMillis(settings.gossipIntervalMillis());
        return Gossip.over(members, peers, connections)
                .withSuspects(suspects)
                .withBundleVersion(bundles::version, (version, from) -> {
                    bundleFetcher.notePeerWithNewerBundle(from);
                    feed.hint(version);
                })
                .withClockAndRandom(clock, random)
                .withTiming(pace)
                .withMeterRegistry(meters)
                .build();
    }

    private BundleState bundleState() {
        Optional<Bundle> bundle = bundles.current();
        return new BundleState(
                bundles.version(),
                bundle.map(Bundle::services).map(List::size).orElse(0),
                bundle.map(Bundle::models).map(List::size).orElse(0),
                bundle.map(Bundle::adapters).map(List::size).orElse(0),
                feed.lastFailure());
    }

    private static ScheduledExecutorService scheduler(String name) {
        AtomicInteger threadNumber = new AtomicInteger();
        return Executors.newScheduledThreadPool(SCHEDULER_THREADS, task -> {
            Thread thread = new Thread(task, name + "-" + threadNumber.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        });
    }

    /**
     * The section of the bundle in the state dump.
     *
     * @param version the version in force; 0 while there is none.
     * @param services the number of services in the bundle.
     * @param models the number of models in the bundle.
     * @param adapters the number of adapters in the bundle.
     * @param lastFailure why the last poll for a newer bundle failed.
     */
    private record BundleState(long version, long services, long models, long adapters, Optional<String> lastFailure) {}
}
