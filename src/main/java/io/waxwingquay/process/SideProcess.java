package io.waxwingquay.process;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.Bundle.Service;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.engine.HttpModelEngine;
import io.waxwingquay.engine.HttpPlainService;
import io.waxwingquay.ledger.MemoryLedger;
import io.waxwingquay.permit.LeasedPermits;
import io.waxwingquay.permit.PermitLender;
import io.waxwingquay.permit.Permits;
import io.waxwingquay.placement.DemandThresholds;
import io.waxwingquay.placement.PlacementStrategy;
import io.waxwingquay.settings.SideSettings;
import io.waxwingquay.settings.SideSettings.TargetType;
import io.waxwingquay.side.AdmissionRule;
import io.waxwingquay.side.SideIdentity;
import io.waxwingquay.side.SideLimits;
import io.waxwingquay.side.SideNode;
import io.waxwingquay.side.SideNodeBuilder;
import io.waxwingquay.transport.generated.SideState;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

/**
 * A side process, assembled from its settings.
 */
public final class SideProcess implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("waxwingquay.process");
    private static final String ROLE = "side";
    private static final long MAX_HEARTBEAT_GAP_MILLIS = 2_000L;
    private static final int RENEWALS_PER_LEASE = 5;
    private static final int LEASE_MARGIN_DIVISOR = 10;
    private static final int MAX_PEERS_ASKED = 3;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500L;
    private static final long MIN_PLAN_INTERVAL_MILLIS = 1_000L;
    private static final long MAX_SETTLE_MILLIS = 5_000L;

    private final ProcessRuntime runtime;
    private final SideSettings settings;
    private final SideIdentity identity;
    private final PermitLender permitLender;
    private final PeerHandler peerHandler;
    private final GatedSideHandler sideHandler;
    private final PlannedItems plannedItems;
    private final AtomicReference<Optional<LeasedPermits>> leasedPermits = new AtomicReference<>(Optional.empty());
    private final Decisions decisions;
    private final AtomicReference<Optional<SideNode>> node = new AtomicReference<>(Optional.empty());
    private Optional<CompletableFuture<Void>> drainCompletion = Optional.empty();

    private SideProcess(ProcessRuntime runtime, SideSettings settings, Decisions decisions, long epoch) {
        this.runtime = runtime;
        this.settings = settings;
        this.decisions = decisions;
        this.identity = new SideIdentity(
                runtime.settings().name(),
                runtime.server().address(),
                runtime.settings().dataCentre(),
                settings.service(),
                settings.replica(),
                epoch);
        this.plannedItems = new PlannedItems(
                identity.sideId(),
                identity.serviceName(),
                runtime.members(),
                decisions.placement(),
                runtime.clock(),
                new PlannedItems.Timing(MIN_PLAN_INTERVAL_MILLIS, MAX_SETTLE_MILLIS));
        PermitLender.Slots noSlots = new PermitLender.Slots(settings.replica(), settings.replica() + 1, 0, 0.0, 0);
        this.permitLender =
                new PermitLender(runtime.clock(), settings.permitLeaseMillis(), MAX_HEARTBEAT_GAP_MILLIS, noSlots);
        this.peerHandler = new PeerHandler(
                runtime.gossip().handler(), runtime.bundles(), runtime.suspects(), Optional.of(permitLender));
        this.sideHandler = new GatedSideHandler(peerHandler, epoch);
    }

    /**
     * Starts a side process, which answers its peers at once and serves when it has a bundle in force.
     *
     * @param settings the settings.
     * @param decisions the strategies that it uses.
     * @return the running process.
     */
    public static SideProcess start(SideSettings settings, Decisions decisions) {
        ProcessRuntime runtime = new ProcessRuntime(settings.process(), ROLE, RandomGenerator.of("L64X128MixRandom"));
        long epoch = new BootEpochAllocator(runtime.table(), runtime.clock())
                .allocate(settings.process().name())
                .join();
        SideProcess process = new SideProcess(runtime, settings, decisions, epoch);
        process.run();
        return process;
    }

    /**
     * Starts a side process with the default strategies.
     *
     * @param settings the settings.
     * @return the running process.
     */
    public static SideProcess start(SideSettings settings) {
        return start(settings, Decisions.DEFAULT);
    }

    /**
     * Returns the address on which this process listens for other processes.
     *
     * @return the address.
     */
    public HostPort address() {
        return identity.address();
    }

    /**
     * Returns the version of the bundle in force in this process.
     *
     * @return the version; 0 while there is none.
     */
    public long bundleVersion() {
        return runtime.bundles().version();
    }

    /**
     * Returns the port on which operators reach this process.
     *
     * @return the admin port.
     */
    public int adminPort() {
        return runtime.adminPort();
    }

    /**
     * Returns whether a bundle is in force, so that this side serves requests.
     *
     * @return whether this side is ready.
     */
    public boolean isReady() {
        return node.get().isPresent();
    }

    /**
     * Rejects new requests, waits for those in flight to end, and then closes. Further calls return the same drain.
     *
     * @return completes when closed.
     */
    public synchronized CompletableFuture<Void> drain() {
        if (drainCompletion.isEmpty()) {
            CompletableFuture<Void> drained = node.get()
                    .map(running -> running.drain(settings.drainLimitMillis()))
                    .orElseGet(() -> CompletableFuture.completedFuture(null));
            drainCompletion = Optional.of(drained.thenRunAsync(this::close));
        }
        return drainCompletion.get();
    }

    /**
     * Returns whether this side has begun to leave.
     *
     * @return whether this side accepts no new requests any more.
     */
    public boolean isLeaving() {
        return node.get()
                .map(SideNode::state)
                .filter(state -> state.getValue() >= SideState.LEAVING.getValue())
                .isPresent();
    }

    /**
     * Returns a future of the end of this process, by a drain or otherwise.
     *
     * @return completes when this process has closed.
     */
    public CompletableFuture<Void> closed() {
        return runtime.closed();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        node.get().ifPresent(SideNode::close);
        runtime.close();
    }

    private void run() {
        runtime.server().serveSide(sideHandler);
        runtime.bundles().onAdopted(this::onBundleAdopted);
        runtime.startAdminServer(this::notReadyReason, this::drain, dump -> dump.section("side", this::dumpState));
        runtime.start();
        scheduleEvery(HEARTBEAT_INTERVAL_MILLIS, permitLender::heartbeat);
        scheduleEvery(HEARTBEAT_INTERVAL_MILLIS, this::checkOwnRecord);
    }

    /**
     * Acts on what other processes know of this side: that a newer incarnation has replaced it, or that the platform is
     * about to remove its VM. If it continued, each permit would be lent twice in the first case, and the platform
     * would cut off its requests in the second.
     */
    private void checkOwnRecord() {
        runtime.members().side(identity.sideId()).ifPresent(ownRecord -> {
            if (ownRecord.epoch() > identity.epoch()) {
                permitLender.supersede();
            } else if (ownRecord.epoch() == identity.epoch() && ownRecord.state() == SideState.LEAVING) {
                drain();
            }
        });
    }

    private Optional<String> notReadyReason() {
        return isReady() ? Optional.empty() : Optional.of("no bundle in force yet");
    }

    private SideDump dumpState() {
        return new SideDump(
                identity,
                node.get().map(SideNode::state).map(Enum::name).orElse("NO_BUNDLE"),
                node.get().map(SideNode::attemptsByState).orElse(Map.of()),
                node.get().flatMap(SideNode::memory),
                dumpOrderLoop(),
                dumpPermits(),
                new SideDump.Placement(plannedItems.share(), plannedItems.unplacedModels()));
    }

    private SideDump.OrderLoop dumpOrderLoop() {
        long nowMillis = runtime.clock().monotonicMillis();
        return new SideDump.OrderLoop(
                node.get().flatMap(SideNode::lastResidencyReadMillis).map(readMillis -> nowMillis - readMillis),
                node.get().map(SideNode::unplaceableItems).orElse(List.of()));
    }

    private Map<Permits.Limit, SideDump.PermitCount> dumpPermits() {
        Map<Permits.Limit, SideDump.PermitCount> counts = new EnumMap<>(Permits.Limit.class);
        for (Permits.Limit limit : Permits.Limit.values()) {
            int heldCount = leasedPermits
                    .get()
                    .map(permits -> permits.countInUse(limit))
                    .orElse(0);
            counts.put(limit, new SideDump.PermitCount(permitLender.countLent(limit), heldCount));
        }
        return counts;
    }

    void onBundleAdopted(Bundle bundle) {
        Optional<Service> service = bundle.service(settings.service());
        if (service.isEmpty()) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "process: bundle {0} names no service {1}; add it to the bundle or correct the settings.",
                    bundle.version(),
                    settings.service());
            return;
        }
        permitLender.configure(slots(service.get()));
        if (node.get().isEmpty()) {
            openNode(service.get());
        }
    }

    /**
     * Creates and opens the node unless this side is draining. A bundle may arrive while a side that was stopped before
     * it had one closes its components; a node opened then would accept requests that the close cuts off. This method
     * and the drain hold the same lock, so either the drain finds the open node or none is opened any more.
     */
    private synchronized void openNode(Service service) {
        if (drainCompletion.isPresent()) {
            return;
        }
        LeasedPermits permits = createPermits();
        leasedPermits.set(Optional.of(permits));
        scheduleEvery(settings.permitLeaseMillis() / RENEWALS_PER_LEASE, permits::renew);
        SideNodeBuilder builder = nodeBuilder(permits);
        SideNode ready = settings.targetKind() == TargetType.PLAIN
                ? builder.forPlainService(new HttpPlainService(
                        runtime.http(), targetAddress(), runtime.settings().tableTimeoutMillis()))
                : builder.forModelEngine(createEngine(), createLedger(service));
        node.set(Optional.of(ready));
        ready.start();
        sideHandler.open(ready);
    }

    private SideNodeBuilder nodeBuilder(Permits permits) {
        return new SideNodeBuilder(identity)
                .limits(SideLimits.defaults()
                        .withQueueLimit(settings.queueLimit())
                        .withQuarantineMillis(settings.orderQuarantineMillis())
                        .withAttemptRetentionMillis(settings.attemptRetentionMillis())
                        .withStreamSilenceMillis(settings.streamSilenceMillis())
                        .withPollWaitMillis(settings.pollWaitMillis()))
                .clock(runtime.clock())
                .random(runtime.random())
                .bundles(runtime.bundles())
                .membership(runtime.members())
                .suspects(runtime.suspects())
                .connections(runtime.connections())
                .peer(peerHandler)
                .permits(permits)
                .wantedItems(plannedItems)
                .admissionRule(decisions.admission())
                .meters(runtime.meters());
    }

    private HttpModelEngine createEngine() {
        return new HttpModelEngine(
                runtime.http(),
                targetAddress(),
                runtime.settings().tableTimeoutMillis(),
                settings.streamSilenceMillis());
    }

    private MemoryLedger createLedger(Service service) {
        return service.ordersFenced()
                ? MemoryLedger.forFencedEngine(service.memoryBytes(), runtime.clock(), settings.orderQuarantineMillis())
                : MemoryLedger.forUnfencedEngine(
                        service.memoryBytes(), runtime.clock(), settings.orderQuarantineMillis());
    }

    private LeasedPermits createPermits() {
        return LeasedPermits.forHolder(identity.sideId(), permitLender)
                .withPeers(settings.service(), runtime.members(), runtime.connections())
                .withClock(runtime.clock(), runtime.random())
                .withTotalSlots(limit -> runtime.bundles()
                        .current()
                        .flatMap(bundle -> bundle.service(settings.service()))
                        .map(service -> slots(service).totalSlots(limit))
                        .orElse(0))
                .withBounds(
                        MAX_PEERS_ASKED,
                        settings.permitLeaseMillis(),
                        settings.permitLeaseMillis() / LEASE_MARGIN_DIVISOR)
                .build();
    }

    private PermitLender.Slots slots(Service service) {
        return new PermitLender.Slots(
                settings.replica(),
                service.replicas(),
                service.weightLoadsAtOnce(),
                service.weightLoadsPerSecond(),
                service.adapterLoadsAtOnce());
    }

    private HostPort targetAddress() {
        return new HostPort(settings.targetUrl().getHost(), settings.targetUrl().getPort());
    }

    private void scheduleEvery(long intervalMillis, Runnable task) {
        runtime.scheduler().scheduleAtFixedRate(task, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * The strategies of a side.
     *
     * @param placement determines which items its target holds.
     * @param admission determines which requests can still meet their deadline.
     */
    public record Decisions(PlacementStrategy placement, AdmissionRule admission) {

        /** The strategies used in production. */
        public static final Decisions DEFAULT = new Decisions(
                PlacementStrategy.named("planned", DemandThresholds.DEFAULT), AdmissionRule.WITH_RUN_TIME);
    }
}
