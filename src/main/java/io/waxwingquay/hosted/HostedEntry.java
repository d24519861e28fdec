package io.waxwingquay.hosted;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.CopyReader;
import io.waxwingquay.fleet.ReplicaDirectory;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.fleet.TableWatch;
import io.waxwingquay.fleet.WatchedTable;
import io.waxwingquay.forward.EngineNotifier;
import io.waxwingquay.forward.ForwardSettings;
import io.waxwingquay.forward.Forwarder;
import io.waxwingquay.forward.SuspectTracker;
import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.HttpServer;
import io.waxwingquay.net.ServerExchange;
import io.waxwingquay.peer.PeerChannel;
import io.waxwingquay.platform.HeaderCodec;
import io.waxwingquay.platform.PreparedPlatform;
import io.waxwingquay.suspect.SharedSuspects;
import io.waxwingquay.transport.generated.AdapterCall;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.PeerDatagram;
import io.waxwingquay.transport.generated.SuspectNews;
import io.waxwingquay.transport.generated.TableVersions;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.http.HttpFields;

/**
 * The process that takes callers' requests.
 */
public final class HostedEntry implements HostedProcess {

    /** The processes beside engines are told this often what is asked for here. */
    private static final long TELL_MILLIS = 250L;

    /** A change that can't wait is told at once, but no more often than this. */
    private static final long TELL_SOON_MILLIS = 40L;

    /** Until it is heard how many entries there are, each takes no more than this part of what they share. */
    private static final int ASSUMED_ENTRIES = 8;

    /** Well within the two seconds in which a new configuration must be in force. */
    private static final long CONFIGURATION_GATHER_MILLIS = 300L;

    /** What engines hold is heard from beside them; the list is for who comes and leaves, in this part of the time allowed. */
    private static final double REPLICA_GATHER_SHARE = 1.0 / 3;

    /** A configuration is told of within its gathering and a datagram's way; one that is not by then was missed. */
    private static final long CONFIGURATION_PATIENCE_MILLIS = 700L;

    /** Entries read a change of the list within the time of gathering and this; one that has not by then has missed it. */
    private static final long REPLICA_MARGIN_MILLIS = 100L;

    private static final long COPY_LOOK_MILLIS = 200L;

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
    private final AdminPages admin;
    private final Departure departure;
    private final PreparedPlatform platform;
    private final TableWatch<Manifest> manifestWatch;
    private final TableWatch<ReplicaRecord> replicaWatch;
    private final CopyReader<Manifest> manifestCopies;
    private final CopyReader<ReplicaRecord> replicaCopies;
    private boolean tellingSoon;

    private HostedEntry(EventLoop loop, HostSettings settings) {
        this.settings = settings;
        this.loop = loop;
        this.admin = new AdminPages(loop, new HostPort(settings.host(), settings.adminPort()));
        this.peers = new PeerChannel(loop, new HostPort(settings.host(), settings.peerPort()), this::received);
        RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
        this.suspects = new SharedSuspects(EventLoop::nowMillis, random);
        this.forwarder = new Forwarder(
                loop,
                forwardSettings(settings),
                new HeaderCodec(),
                admin.forwardMeters(),
                new Telling(),
                new SuspectTracker(suspects, EventLoop::nowMillis, this::suspectsChanged),
                random);
        this.replicas = new ReplicaDirectory(EventLoop::nowMillis, forwarder.replicaListener());
        HostPort callers = needed(settings.callers(), "listen.front");
        HostPort readiness = needed(settings.readiness(), "listen.ready");
        this.server = HttpServer.listen(loop, socket(callers), forwarder);
        HttpServer.listen(loop, socket(readiness), this::readiness);
        this.departure =
                new Departure(loop, server, forwarder, settings.bounds().graceMillis(), EventLoop::nowMillis);
        this.platform = new PreparedPlatform(loop, settings.store());
        this.manifestWatch = new TableWatch<>(
                loop, "configuration", platform.manifests(), CONFIGURATION_GATHER_MILLIS, new Configurations());
        this.replicaWatch = new TableWatch<>(loop, "replicas", platform.replicas(), replicaGatherMillis(), replicas);
        this.manifestCopies = new CopyReader<>(
                "configuration",
                () -> manifestWatch.isReachable() ? CONFIGURATION_PATIENCE_MILLIS : 0,
                platform::manifestsAt,
                this::configurationVersion,
                manifestWatch::adopt);
        this.replicaCopies = new CopyReader<>(
                "replicas",
                () -> replicaWatch.isReachable() ? replicaGatherMillis() + REPLICA_MARGIN_MILLIS : 0,
                platform::replicasAt,
                replicaWatch::version,
                replicaWatch::adopt);
        admin.copies(platform::copy);
        admin.dump(() ->
                "active=" + forwarder.activeCount() + " engines_heard=" + forwarder.freshEngineCount() + " suspects="
                        + suspects.count() + " missing=" + replicas.missing() + " replicas=" + replicas.replicas());
        loop.execute(this::begin);
    }

    /**
     * Starts the process; called on the loop.
     *
     * @param loop where everything runs.
     * @param settings what it is told.
     * @return the running process.
     */
    public static HostedEntry start(EventLoop loop, HostSettings settings) {
        return new HostedEntry(loop, settings);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Void> leave() {
        return departure.begin();
    }

    private void begin() {
        manifestWatch.start();
        replicaWatch.start();
        List<HostPort> seeds = settings.seeds().stream()
                .filter(host -> !host.equals(settings.host()))
                .map(this::copiesAt)
                .toList();
        manifestCopies.seeds(seeds);
        replicaCopies.seeds(seeds);
        loop.every(COPY_LOOK_MILLIS, () -> {
            manifestCopies.look(EventLoop.nowMillis());
            replicaCopies.look(EventLoop.nowMillis());
        });
        loop.every(ReplicaDirectory.LAPSE_MILLIS / 8, replicas::settle);
        loop.every(TELL_MILLIS, this::tell);
        LOG.log(System.Logger.Level.INFO, "hosted: entry started node={0} zone={1}", settings.node(), settings.zone());
    }

    private void suspectsChanged() {
        forwarder.updateSoon();
    }

    private long configurationVersion() {
        return forwarder.manifest().map(Manifest::version).orElse(0L);
    }

    /** Our processes answer for their copies at the same port on every VM. */
    private HostPort copiesAt(String host) {
        return new HostPort(host, settings.adminPort());
    }

    private long replicaGatherMillis() {
        return (long) (settings.bounds().drainMillis() * REPLICA_GATHER_SHARE);
    }

    private void readiness(ServerExchange caller) {
        boolean isAsked = caller.request().path().equals(PreparedPlatform.READINESS_PATH);
        boolean ready =
                isAsked && !departure.isUnderWay() && forwarder.manifest().isPresent() && replicas.isComplete();
        caller.respond(ready ? OK : UNAVAILABLE, HttpFields.EMPTY, ready ? "ready" : "not ready");
    }

    private void received(HostPort sender, PeerDatagram datagram) {
        if (datagram.isSetEngine()) {
            forwarder.engineUpdate(datagram.getEngine());
            suspects.take(datagram.getEngine().getSuspects());
            tablesTold(datagram.getEngine());
        } else if (datagram.isSetAdapterReply()) {
            forwarder.adapterReply(
                    datagram.getAdapterReply().getId(),
                    datagram.getAdapterReply().isPresent());
        }
    }

    private void tablesTold(EngineNews news) {
        if (news.isSetNewestTables() && news.isSetNewestTablesHost()) {
            HostPort holder = copiesAt(news.getNewestTablesHost());
            manifestCopies.told(news.getNewestTables().getConfiguration(), holder);
            replicaCopies.told(news.getNewestTables().getReplicaList(), holder);
        }
    }

    private void tell() {
        TableVersions tables = new TableVersions(configurationVersion(), replicaWatch.changedVersion());
        List<SuspectNews> page = suspects.page();
        forwarder
                .entryUpdates(settings.node())
                .forEach((engine, news) -> peers.send(
                        beside(engine),
                        PeerDatagram.entry(news.setTables(tables).setSuspects(page.isEmpty() ? null : page))));
    }

    /** Our processes take datagrams at the same port on every VM. */
    private HostPort beside(HostPort engine) {
        return new HostPort(engine.host(), settings.peerPort());
    }

    private static HostPort needed(Optional<HostPort> address, String element) {
        return address.orElseThrow(() -> new IllegalArgumentException(
                element + ": is missing; this role takes callers' requests and tells whether it is ready"));
    }

    private static InetSocketAddress socket(HostPort address) {
        return new InetSocketAddress(address.host(), address.port());
    }

    private static ForwardSettings forwardSettings(HostSettings settings) {
        return new ForwardSettings(
                settings.zone(),
                settings.bounds().retryShare(),
                settings.bounds().retrySlack(),
                ASSUMED_ENTRIES);
    }

    private final class Telling implements EngineNotifier {

        /** {@inheritDoc} */
        @Override
        public void requestAdapter(HostPort engine, long id, String model, String adapter) {
            peers.send(beside(engine), PeerDatagram.adapterCall(new AdapterCall(id, model, adapter)));
        }

        /** {@inheritDoc} */
        @Override
        public void demandChanged() {
            if (!tellingSoon) {
                tellingSoon = true;
                loop.schedule(TELL_SOON_MILLIS, () -> {
                    tellingSoon = false;
                    tell();
                });
            }
        }
    }

    /** Puts each new configuration in force. */
    private final class Configurations implements TableWatch.Listener<Manifest> {

        /** {@inheritDoc} */
        @Override
        public void onAll(WatchedTable.Page<Manifest> page) {
            onChanges(page);
        }

        /** {@inheritDoc} */
        @Override
        public void onChanges(WatchedTable.Page<Manifest> page) {
            page.rows().forEach(row -> row.value().ifPresent(this::apply));
        }

        private void apply(Manifest manifest) {
            forwarder.manifest(manifest);
            server.limit(manifest.limits());
        }
    }
}
