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
 * What an entry and a side have in common: platform clients, peers, membership, gossip and the bundle in force.
 */
final class Foundation implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("waxwingquay.process");
    private static final int SCHEDULER_THREADS = 2;
    private static final int RARE_LOOK = 30;
    private static final int HTTP_CONNECTIONS = 512;
    private static final long CONNECT_TIMEOUT_MILLIS = 500L;
    private static final long SUSPECT_RETENTION_MILLIS = 600_000L;
    private static final int SUSPECT_LIMIT = 4_096;
    private static final long VM_LIST_INTERVAL_MILLIS = 2_000L;

    private final CompletableFuture<Void> closed = new CompletableFuture<>();
    private final Deque<AutoCloseable> owned = new ArrayDeque<>();
    private final ProcessSettings settings;
    private final Clock clock = Clock.SYSTEM;
    private final RandomGenerator random;
    private final PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final ProcessMeters measures = new ProcessMeters(meters, clock);
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
    private final VmWatch watch;
    private Optional<AdminServer> admin = Optional.empty();

    Foundation(ProcessSettings settings, String role, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        HostPort platform = new HostPort(
                settings.platformUrl().getHost(), settings.platformUrl().getPort());
        this.scheduler = scheduler(settings.name());
        owned.push(scheduler::shutdownNow);
        this.http = HttpCalls.startClient(HTTP_CONNECTIONS, CONNECT_TIMEOUT_MILLIS);
        owned.push(http::stop);
        this.table = new HttpTableService(http, platform, settings.tableTimeoutMillis());
        this.connections =
                own(ThriftConnections.builder().observer(measures::countCall).build());
        this.server = own(ThriftServer.bind(new HostPort(settings.host(), settings.thriftPort())));
        this.members = new MemberTable(clock, MemberTable.Timing.DEFAULT);
        HostPort address = server.address();
        this.peers =
                new Peers(new Peers.Peer(settings.name(), address, settings.dataCentre()), members, settings.seeds());
        this.suspects = new SuspectTable(clock, SUSPECT_RETENTION_MILLIS, SUSPECT_LIMIT);
        this.bundles = new BundleHolder(TrustedKeys.ofRoots(settings.trustedKeys()));
        PeerBundles fetcher = new PeerBundles(peers, connections, random);
        HttpObjectStore objects = new HttpObjectStore(http, platform, settings.tableTimeoutMillis());
        this.feed = own(BundleFeed.builder(bundles, new BundleArchive(table, objects))
                .peers(fetcher)
                .schedule(scheduler, settings.bundlePollMillis())
                .pollEveryInterval(this::isReader, RARE_LOOK, random.nextInt(RARE_LOOK))
                .build());
        this.gossip = gossip(fetcher);
        VmList.Vm self =
                new VmList.Vm(settings.name(), address.host(), address.port(), settings.dataCentre(), role, false);
        VmList list = new HttpVmList(http, platform, settings.tableTimeoutMillis());
        this.watch = new VmWatch(list, peers, connections, clock, random, self, VM_LIST_INTERVAL_MILLIS);
    }

    /** Starts to follow the bundle, the peers and the VM list. */
    void start() {
        bundles.onAdopted(bundle -> gossip.hurry());
        feed.start();
        owned.push(gossip.start(scheduler));
        owned.push(watch.start(scheduler));
    }

    /**
     * Opens the port for operators.
     *
     * @param notReady why the process takes no work, if so.
     * @param drain starts a graceful shutdown.
     * @param sections adds what the role shows in the state dump.
     */
    void observe(Supplier<Optional<String>> notReady, Runnable drain, Consumer<StateDump> sections) {
        StateDump dump = new StateDump()
                .section("settings", () -> settings)
                .section("bundle", () -> bundleState())
                .section("members", members::sides)
                .section("peers", peers::all)
                .section("suspects", suspects::snapshot);
        sections.accept(dump);
        measures.registerBundle(bundles);
        admin = Optional.of(own(AdminServer.builder(meters, dump)
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

    VmWatch watch() {
        return watch;
    }

    /**
     * Closes something together with this foundation, before everything that was owned earlier.
     *
     * @param <T> what it is.
     * @param closeable what is closed.
     * @return the same.
     */
    <T extends AutoCloseable> T own(T closeable) {
        owned.push(closeable);
        return closeable;
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        while (!owned.isEmpty()) {
            closeOne(owned.pop());
        }
        closed.complete(null);
    }

    private static void closeOne(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception failure) {
            LOG.log(System.Logger.Level.WARNING, "process: A part did not close cleanly.", failure);
        }
    }

    private boolean isReader() {
        return watch.isReader();
    }

    private Gossip gossip(PeerBundles fetcher) {
        Gossip.Pace pace = Gossip.Pace.DEFAULT.withUrgentMillis(settings.gossipIntervalMillis());
        return Gossip.over(members, peers, connections)
                .carrying(suspects)
                .announcing(bundles::version, (version, from) -> {
                    fetcher.noteInformed(from);
                    feed.hint(version);
                })
                .deciding(clock, random)
                .paced(pace)
                .countedBy(meters)
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
        AtomicInteger number = new AtomicInteger();
        return Executors.newScheduledThreadPool(SCHEDULER_THREADS, task -> {
            Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        });
    }

    /**
     * What the state dump shows of the bundle.
     *
     * @param version the version in force, 0 while there is none.
     * @param services services it names.
     * @param models models it names.
     * @param adapters adapters it names.
     * @param lastFailure why the last look for a newer one failed.
     */
    private record BundleState(long version, long services, long models, long adapters, Optional<String> lastFailure) {}
}
