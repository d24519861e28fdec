package io.waxwingquay.hosted;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.PeerTableReader;
import io.waxwingquay.fleet.ReplicaDirectory;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.fleet.StoreVersion;
import io.waxwingquay.fleet.TableWatch;
import io.waxwingquay.fleet.WatchedTable;
import io.waxwingquay.forward.ForwardSettings;
import io.waxwingquay.forward.Forwarder;
import io.waxwingquay.forward.SuspectTracker;
import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.net.BufferBudget;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.HttpServer;
import io.waxwingquay.net.ServerExchange;
import io.waxwingquay.net.ServerMemory;
import io.waxwingquay.peer.DatagramPacer;
import io.waxwingquay.peer.PeerChannel;
import io.waxwingquay.peer.RestartDetector;
import io.waxwingquay.platform.HeaderCodec;
import io.waxwingquay.platform.PreparedPlatform;
import io.waxwingquay.suspect.QuarantineKeeper;
import io.waxwingquay.suspect.SharedSuspects;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.EntryNews;
import io.waxwingquay.transport.generated.PeerDatagram;
import io.waxwingquay.transport.generated.PromptPartNews;
import io.waxwingquay.transport.generated.SuspectNews;
import io.waxwingquay.transport.generated.TableVersions;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.eclipse.jetty.http.HttpFields;

/**
 * The entry process, which accepts requests from callers and forwards them to replicas.
 */
public final class HostedEntry implements HostedProcess {

    /** Interval at which this entry sends its demand to the side processes. */
    private static final long UPDATE_INTERVAL_MILLIS = 250L;

    /** Interval at which requests that wait for the answer to such a report are looked at. */
    private static final long WAITING_CHECK_MILLIS = 30L;

    /** Number of entries among which shared limits are divided until the actual number is known. */
    private static final int ASSUMED_ENTRY_COUNT = 8;

    /** Batching delay for configuration changes; well within the two seconds in which one must be in force. */
    private static final long CONFIGURATION_BATCH_MILLIS = 300L;

    /**
     * Fraction of the drain time that is used as batching delay for changes of the replica list. The list only has to
     * show which replicas join and leave; the models that engines hold are reported by the side processes.
     */
    private static final double REPLICA_BATCH_FRACTION = 1.0 / 3;

    /**
     * A new configuration is read within the batching delay plus the delivery of an update; one that is still unread
     * after this time has been missed.
     */
    private static final long MAX_CONFIGURATION_LAG_MILLIS = 700L;

    /**
     * Entries read a change of the replica list within its batching delay plus this margin; one that is still unread
     * after this time has been missed.
     */
    private static final long REPLICA_LAG_MARGIN_MILLIS = 100L;

    private static final long COPY_CHECK_MILLIS = 200L;

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final System.Logger LOG = System.getLogger("waxwingquay.hosted");

    private final HostSettings settings;
    private final EventLoop loop;
    private final HttpServer server;
    private final Forwarder forwarder;
    private final ReplicaDirectory replicas;
    private final SharedSuspects suspects;
    private final PeerChannel peers;
    private final RestartDetector sideRestarts = new RestartDetector();
    private final DatagramPacer roundPacer;
    private final HostedAdminServer adminServer;
    private final GracefulShutdown gracefulShutdown;
    private final PreparedPlatform platform;
    private final TableWatch<Manifest> configurationWatch;
    private final TableWatch<ReplicaRecord> replicaWatch;
    private final ConfigurationListener configurationListener = new ConfigurationListener();
    private final KeeperUpdates keeperUpdates = new KeeperUpdates();
    private final PeerTableReader<Manifest, Long> configurationCopies;
    private final PeerTableReader<ReplicaRecord, StoreVersion> replicaCopies;
    private final RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
    private boolean waitingCheckScheduled;

    private HostedEntry(EventLoop loop, HostSettings settings, BufferBudget bufferBudget) {
        this.settings = settings;
        this.loop = loop;
        this.adminServer = new HostedAdminServer(loop, new HostPort(settings.host(), settings.adminPort()));
        this.peers = new PeerChannel(loop, new HostPort(settings.host(), settings.peerPort()), this::onDatagram);
        this.roundPacer = createRoundPacer();
        this.suspects = new SharedSuspects(EventLoop::nowMillis, random);
        this.forwarder = new Forwarder(
                loop,
                forwardSettings(settings),
                new HeaderCodec(),
                adminServer.forwardMeters(),
                new EntryMessages(
                        peers, this::sideAddressOf, loop::schedule, this::sendUpdates, this::sendSpendingReports),
                new SuspectTracker(suspects, EventLoop::nowMillis, this::onSuspectsChanged),
                random);
        this.replicas = new ReplicaDirectory(
                EventLoop::nowMillis,
                new ReplicaDirectory.Listener.Compound(List.of(forwarder.replicaListener(), keeperUpdates)));
        HostPort callerAddress = required(settings.callerAddress(), "listen.front");
        HostPort readinessAddress = required(settings.readinessAddress(), "listen.ready");
        this.server = HttpServer.listen(
                loop,
                socketAddress(callerAddress),
                loop.acceptWhileResponsive(),
                new ServerMemory(bufferBudget, this::refusalFields),
                forwarder);
        HttpServer.listen(loop, socketAddress(readinessAddress), this::answerReadiness);
        this.gracefulShutdown =
                new GracefulShutdown(loop, server, forwarder, settings.bounds().graceMillis(), EventLoop::nowMillis);
        this.platform = new PreparedPlatform(loop, settings.storeAddress());
        this.configurationWatch = new TableWatch<>(
                loop,
                "configuration",
                platform.configurationTable(),
                CONFIGURATION_BATCH_MILLIS,
                configurationListener);
        this.replicaWatch = new TableWatch<>(loop, "replicas", platform.replicaTable(), replicaBatchMillis(), replicas);
        this.configurationCopies = new PeerTableReader<>(
                "configuration",
                () -> configurationWatch.isReachable() ? MAX_CONFIGURATION_LAG_MILLIS : 0,
                platform::configurationTableAt,
                0L,
                this::configurationVersion,
                this::adoptConfiguration);
        this.replicaCopies = new PeerTableReader<>(
                "replicas",
                () -> replicaWatch.isReachable() ? replicaBatchMillis() + REPLICA_LAG_MARGIN_MILLIS : 0,
                platform::replicaTableAt,
                StoreVersion.NONE,
                replicaWatch::version,
                replicaWatch::adopt);
        adminServer.tableCopies(platform::encodedCopy);
        adminServer.dump(() -> describe(bufferBudget));
        loop.execute(this::startTasks);
    }

    private String describe(BufferBudget bufferBudget) {
        return "active=" + forwarder.activeCount() + " held_bytes=" + bufferBudget.heldBytes() + " configuration="
                + configurationVersion() + " engines_heard=" + forwarder.freshEngineCount() + " suspects="
                + suspects.countSuspected() + " quarantined_parts="
                + suspects.promptParts().countQuarantined() + " quarantined_requests="
                + suspects.promptParts().countQuarantinedRequests() + " missing=" + replicas.unlistedIds()
                + " replicas=" + replicas.replicas();
    }

    /**
     * Starts the process; called on the loop.
     *
     * @param loop the event loop on which everything runs.
     * @param settings the settings of the process.
     * @return the running process.
     */
    public static HostedEntry start(EventLoop loop, HostSettings settings) {
        return start(loop, settings, BufferBudget.ofHeapShare());
    }

    /**
     * Starts the process with a budget for what it holds for callers; called on the loop.
     *
     * @param loop the event loop on which everything runs.
     * @param settings the settings of the process.
     * @param bufferBudget the budget.
     * @return the running process.
     */
    static HostedEntry start(EventLoop loop, HostSettings settings, BufferBudget bufferBudget) {
        return new HostedEntry(loop, settings, bufferBudget);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Void> shutdown() {
        return gracefulShutdown.start();
    }

    private void startTasks() {
        adminServer.countRefusedConnections(server);
        new QuarantineKeeper(suspects.promptParts(), platform.quarantineArchive(), loop::schedule, random).start();
        configurationWatch.start();
        replicaWatch.start();
        List<HostPort> seeds = settings.seedHosts().stream()
                .filter(host -> !host.equals(settings.host()))
                .map(this::adminAddressOf)
                .toList();
        configurationCopies.addSeeds(seeds);
        replicaCopies.addSeeds(seeds);
        loop.every(COPY_CHECK_MILLIS, () -> {
            configurationCopies.readIfStale(EventLoop.nowMillis());
            replicaCopies.readIfStale(EventLoop.nowMillis());
        });
        loop.every(ReplicaDirectory.UNLISTED_GRACE_MILLIS / 8, replicas::removeExpired);
        loop.every(UPDATE_INTERVAL_MILLIS, this::sendUpdates);
        LOG.log(
                System.Logger.Level.INFO,
                "hosted: entry started node={0} zone={1}",
                settings.vmName(),
                settings.dataCentre());
    }

    private HttpFields refusalFields(long retryAfterMillis) {
        return forwarder.codec().refusalFields(Optional.of(forwarder.jitter(retryAfterMillis)));
    }

    private void onSuspectsChanged() {
        forwarder.updateSoon();
    }

    /**
     * Applies the configuration of a peer, which decides by its own version whether it is newer: a restored store may
     * hold an older one than the peer has in force.
     */
    private void adoptConfiguration(WatchedTable.Page<Manifest> page) {
        configurationListener.onSnapshot(page);
        configurationWatch.adopt(page);
    }

    private long configurationVersion() {
        return forwarder.manifest().map(Manifest::version).orElse(0L);
    }

    /** Returns the address of the admin server on a VM; its port is the same on every VM. */
    private HostPort adminAddressOf(String host) {
        return new HostPort(host, settings.adminPort());
    }

    private long replicaBatchMillis() {
        return (long) (settings.bounds().drainMillis() * REPLICA_BATCH_FRACTION);
    }

    private void answerReadiness(ServerExchange exchange) {
        boolean isReadinessPath = exchange.request().path().equals(PreparedPlatform.READINESS_PATH);
        boolean ready = isReadinessPath
                && !gracefulShutdown.isStarted()
                && forwarder.manifest().isPresent()
                && replicas.isComplete();
        exchange.respond(ready ? OK : UNAVAILABLE, HttpFields.EMPTY, ready ? "ready" : "not ready");
    }

    private void onDatagram(HostPort sender, PeerDatagram datagram) {
        if (datagram.isSetEngine()) {
            if (sideRestarts.isFirstOfIncarnation(sender, datagram.getEngine().getNumber())) {
                forwarder.origins().restarted(sender);
            }
            forwarder.engineUpdate(datagram.getEngine());
            suspects.merge(datagram.getEngine().getSuspects());
            suspects.promptParts().merge(datagram.getEngine().getPromptParts());
            onTableVersions(datagram.getEngine());
        } else if (datagram.isSetSpendingReply()) {
            forwarder.allowances().replied(sender, datagram.getSpendingReply());
        } else if (datagram.isSetOriginReply()) {
            forwarder.origins().replied(sender, datagram.getOriginReply());
        } else if (datagram.isSetAdapterReply()) {
            forwarder.adapterReply(
                    datagram.getAdapterReply().getId(),
                    datagram.getAdapterReply().isPresent());
        } else if (datagram.isSetSlotReply()) {
            forwarder.slotReply(datagram.getSlotReply());
        }
    }

    private void onTableVersions(EngineNews update) {
        if (update.isSetNewestTables() && update.isSetNewestTablesHost()) {
            HostPort holder = adminAddressOf(update.getNewestTablesHost());
            TableVersions newest = update.getNewestTables();
            configurationCopies.recordPeerVersion(newest.getConfiguration(), holder);
            replicaCopies.recordPeerVersion(
                    new StoreVersion(newest.getReplicaListTimeline(), newest.getReplicaList()), holder);
        }
    }

    private DatagramPacer createRoundPacer() {
        return new DatagramPacer(
                settings.bounds().linkBytesPerSecond(), loop::schedule, EventLoop::nowMillis, peers::send);
    }

    private void sendUpdates() {
        updateSpendingReceivers(sideAddresses());
        StoreVersion replicaList = replicaWatch.lastChangeVersion();
        TableVersions versions =
                new TableVersions(configurationVersion(), replicaList.number(), replicaList.timeline());
        List<SuspectNews> suspectPage = suspects.nextUpdate();
        List<PromptPartNews> promptPartPage = suspects.promptParts().nextUpdate();
        forwarder.entryUpdates(settings.vmName()).forEach((engine, update) -> {
            update.setTables(versions)
                    .setSuspects(suspectPage.isEmpty() ? null : suspectPage)
                    .setPromptParts(promptPartPage.isEmpty() ? null : promptPartPage);
            send(sideAddressOf(engine), update);
        });
    }

    /** Sends an update of what is in use at once, and one of a round as fast as the link permits. */
    private void send(HostPort side, EntryNews update) {
        byte[] encoded = peers.encode(PeerDatagram.entry(update));
        if (update.isSetDemand()) {
            roundPacer.send(side, encoded);
        } else {
            peers.send(side, encoded);
        }
    }

    /** Tells which processes add up spending; reports that did not get through are repeated here. */
    private void updateSpendingReceivers(Set<HostPort> sides) {
        if (forwarder.allowances().isEmpty()) {
            return;
        }
        forwarder.allowances().processes(sides);
        sendSpendingReports();
    }

    private void sendSpendingReports() {
        forwarder
                .allowances()
                .reportsDue()
                .forEach(report -> peers.send(report.receiver(), PeerDatagram.spending(report.report())));
        checkWaitingLater();
    }

    /** Checks, while any request waits for the answer to a report, whether the report or the answer is lost. */
    private void checkWaitingLater() {
        if (!waitingCheckScheduled) {
            waitingCheckScheduled = true;
            loop.schedule(WAITING_CHECK_MILLIS, () -> {
                waitingCheckScheduled = false;
                if (forwarder.allowances().checkWaiting()) {
                    sendSpendingReports();
                }
            });
        }
    }

    private Set<HostPort> sideAddresses() {
        return forwarder.engineAddresses().stream().map(this::sideAddressOf).collect(Collectors.toSet());
    }

    /** Returns the address of the side process beside an engine; the port for datagrams is the same on every VM. */
    private HostPort sideAddressOf(HostPort engine) {
        return new HostPort(engine.host(), settings.peerPort());
    }

    private static HostPort required(Optional<HostPort> address, String element) {
        return address.orElseThrow(() -> new IllegalArgumentException(
                element + ": is missing; this role accepts callers' requests and reports its readiness"));
    }

    private static InetSocketAddress socketAddress(HostPort address) {
        return new InetSocketAddress(address.host(), address.port());
    }

    private static ForwardSettings forwardSettings(HostSettings settings) {
        return new ForwardSettings(
                settings.dataCentre(),
                settings.bounds().retryBudgetRatio(),
                settings.bounds().retryBudgetSlack(),
                ASSUMED_ENTRY_COUNT,
                settings.bounds().quotaTolerance());
    }

    /** Applies each newer configuration; the table may hold an older one after the store was restored from a copy. */
    private final class ConfigurationListener implements TableWatch.Listener<Manifest> {

        /** {@inheritDoc} */
        @Override
        public void onSnapshot(WatchedTable.Page<Manifest> page) {
            onChanges(page);
        }

        /** {@inheritDoc} */
        @Override
        public void onChanges(WatchedTable.Page<Manifest> page) {
            page.forEachRow(row -> row.value().ifPresent(this::apply));
        }

        private void apply(Manifest manifest) {
            if (manifest.version() <= configurationVersion()) {
                return;
            }
            forwarder.manifest(manifest);
            server.updateLimits(manifest.limits());
            keeperUpdates.changed();
        }
    }

    /**
     * Tells which processes keep the origins of streams, as soon as the list of engines changes: an entry that has just
     * started can resume no stream before it knows them.
     */
    private final class KeeperUpdates implements ReplicaDirectory.Listener {

        private boolean scheduled;

        /** {@inheritDoc} */
        @Override
        public void onListed(ReplicaRecord record, Optional<ReplicaRecord> before) {
            if (before.isEmpty() || !before.get().address().equals(record.address())) {
                changed();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void onUnlisted(ReplicaRecord record) {
            // Its side process keeps what it was told while the replica may be listed again.
        }

        /** {@inheritDoc} */
        @Override
        public void onRemoved(ReplicaRecord record) {
            changed();
        }

        /** Applies all changes of one pass of the loop together. */
        private void changed() {
            if (!scheduled) {
                scheduled = true;
                loop.execute(() -> {
                    scheduled = false;
                    Set<HostPort> sides = sideAddresses();
                    sideRestarts.retain(sides);
                    forwarder.origins().processes(sides);
                });
            }
        }
    }
}
