package io.waxwingquay.hosted;

import io.waxwingquay.account.SpendingTallies;
import io.waxwingquay.common.CallbackGuard;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.fleet.WatchedTable;
import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.origin.OriginTable;
import io.waxwingquay.peer.PeerChannel;
import io.waxwingquay.platform.PreparedPlatform;
import io.waxwingquay.residency.EngineManager;
import io.waxwingquay.residency.PreviousModels;
import io.waxwingquay.residency.SuspectRelay;
import io.waxwingquay.residency.WeightLoadLimiter;
import io.waxwingquay.suspect.SharedSuspects;
import io.waxwingquay.transport.generated.PeerDatagram;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * The side process beside an engine. It is the only process that gives orders to that engine, for the whole lifetime of
 * the engine, so that no agreement on ownership and no lease is needed that could expire while the platform's store is
 * unavailable.
 */
public final class HostedSide implements HostedProcess {

    /**
     * Interval at which the configuration is read again if it is missing or outdated. A new one is needed only when
     * models are added or removed.
     */
    private static final long CONFIGURATION_CHECK_MILLIS = 1_000L;

    /** Priority classes of streams from which the slots of engines are granted: urgent, live and relaxed work. */
    private static final int MIN_PRIORITY_CLASSES = 3;

    private static final System.Logger LOG = System.getLogger("waxwingquay.hosted");

    private final HostSettings settings;
    private final EventLoop loop;
    private final String service;
    private final EngineManager keeper;
    private final PreparedPlatform platform;
    private final WatchedTable<Manifest> configurationTable;
    private Optional<String> healthPath = Optional.empty();
    private boolean configurationKnown;
    private long configurationVersion;
    private boolean readInProgress;

    private HostedSide(EventLoop loop, HostSettings settings, HostPort engine) {
        this.settings = settings;
        this.loop = loop;
        this.service = settings.service().orElse("");
        this.platform = new PreparedPlatform(loop, settings.storeAddress());
        this.configurationTable = platform.configurationTable();
        WeightLoadLimiter pace = new WeightLoadLimiter(
                settings.bounds().loadWindowMillis(), settings.bounds().loadBurstFactor());
        if (!settings.firstStart()) {
            pace.assumeRecentLoad(EventLoop.nowMillis());
        }
        this.keeper = new EngineManager(
                loop,
                engine,
                service,
                platform.engineControl(engine, settings.vmName(), () -> healthPath),
                new PeerSender(),
                pace);
        loop.execute(this::startTasks);
    }

    /**
     * Starts the process; called on the loop.
     *
     * @param loop the event loop on which everything runs.
     * @param settings the settings of the process.
     * @return the running process.
     */
    public static HostedSide start(EventLoop loop, HostSettings settings) {
        HostPort engine = settings.engineAddress()
                .orElseThrow(() -> new IllegalArgumentException("app: is missing; this role runs beside an engine"));
        return new HostedSide(loop, settings, engine);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Void> shutdown() {
        LOG.log(System.Logger.Level.INFO, "hosted: side shuts down node={0}", settings.vmName());
        return CompletableFuture.completedFuture(null);
    }

    private void startTasks() {
        keeper.start();
        readConfiguration();
        platform.replicaTable().readAll().whenComplete(CallbackGuard.of("replica list", (page, failure) -> {
            if (failure == null) {
                readEarlierModels(page);
            } else {
                LOG.log(System.Logger.Level.INFO, "hosted: earlier life not read cause={0}", failure.getMessage());
            }
        }));
        loop.every(CONFIGURATION_CHECK_MILLIS, () -> {
            if (!configurationKnown || keeper.isConfigurationStale()) {
                readConfiguration();
            }
        });
        LOG.log(System.Logger.Level.INFO, "hosted: side started node={0} service={1}", settings.vmName(), service);
    }

    /** Reads the models of earlier incarnations from their rows, which stay listed for some seconds. */
    private void readEarlierModels(WatchedTable.Page<ReplicaRecord> page) {
        List<ReplicaRecord> records = page.rows().stream()
                .map(WatchedTable.Row::value)
                .flatMap(Optional::stream)
                .toList();
        PreviousModels earlier =
                PreviousModels.fromListing(records, settings.engineAddress().orElseThrow());
        LOG.log(System.Logger.Level.INFO, "hosted: earlier life models={0}", earlier.models());
        keeper.setPreviousModels(earlier);
    }

    private void readConfiguration() {
        if (readInProgress) {
            return;
        }
        readInProgress = true;
        configurationTable.readAll().whenComplete(CallbackGuard.of("configuration", (page, failure) -> {
            if (failure == null) {
                readInProgress = false;
                apply(page);
            } else {
                LOG.log(System.Logger.Level.WARNING, "hosted: configuration not read cause={0}", failure.getMessage());
                readCopy();
            }
        }));
    }

    /** Reads the configuration from an entry that sends updates, as the store is unavailable here. */
    private void readCopy() {
        Optional<HostPort> holder =
                keeper.newestConfigurationHost().map(host -> new HostPort(host, settings.adminPort()));
        if (holder.isEmpty()) {
            readInProgress = false;
            return;
        }
        platform.configurationTableAt(holder.get())
                .readAll()
                .whenComplete(CallbackGuard.of("configuration copy", (page, failure) -> {
                    readInProgress = false;
                    if (failure == null) {
                        apply(page);
                    }
                }));
    }

    private void apply(WatchedTable.Page<Manifest> page) {
        page.forEachRow(row -> row.value().ifPresent(manifest -> {
            if (manifest.version() < configurationVersion) {
                // The store was restored from a copy that is older than this configuration.
                return;
            }
            configurationKnown = true;
            configurationVersion = manifest.version();
            healthPath = Optional.ofNullable(manifest.services().get(service)).flatMap(Manifest.Service::healthPath);
            configureEngine(manifest);
        }));
    }

    /**
     * Configures the engine. Its slots are granted only where the operator ranks the streams of the service in several
     * classes: the order among requests of different entries matters when relaxed work competes with live work.
     */
    private void configureEngine(Manifest manifest) {
        if (manifest.streamPriorityClasses(service) >= MIN_PRIORITY_CLASSES) {
            keeper.configure(manifest.engine(service));
        } else {
            keeper.configureWithoutGranting(manifest.engine(service));
        }
    }

    private final class PeerSender implements EngineManager.Sender {

        private final SuspectRelay suspectRelay =
                new SuspectRelay(new SharedSuspects(EventLoop::nowMillis, RandomGenerator.of("L64X128MixRandom")));
        private final SpendingTallies tallies =
                new SpendingTallies(settings.bounds().quotaTolerance());
        private final OriginTable origins = new OriginTable();
        private final PeerChannel channel =
                new PeerChannel(loop, new HostPort(settings.host(), settings.peerPort()), this::onDatagram);

        private void onDatagram(HostPort sender, PeerDatagram datagram) {
            if (datagram.isSetSpending()) {
                channel.send(
                        sender,
                        PeerDatagram.spendingReply(
                                tallies.report(sender, datagram.getSpending(), EventLoop.nowMillis())));
                return;
            }
            if (datagram.isSetOriginReport()) {
                origins.report(datagram.getOriginReport(), EventLoop.nowMillis());
                return;
            }
            if (datagram.isSetOriginQuestion()) {
                channel.send(sender, PeerDatagram.originReply(origins.answer(datagram.getOriginQuestion())));
                return;
            }
            suspectRelay.receive(datagram);
            keeper.onDatagram(sender, datagram);
        }

        /** {@inheritDoc} */
        @Override
        public void send(HostPort target, PeerDatagram datagram) {
            channel.send(target, datagram);
        }

        /** {@inheritDoc} */
        @Override
        public void send(Set<HostPort> targets, PeerDatagram datagram) {
            suspectRelay.attachTo(datagram);
            byte[] encoded = channel.encode(datagram);
            targets.forEach(target -> channel.send(target, encoded));
        }

        /** {@inheritDoc} */
        @Override
        public HostPort sideAddress(HostPort engine) {
            return new HostPort(engine.host(), settings.peerPort());
        }
    }
}
