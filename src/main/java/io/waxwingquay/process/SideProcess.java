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
 * A side process, put together from its settings.
 */
public final class SideProcess implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("waxwingquay.process");
    private static final String ROLE = "side";
    private static final long PAUSE_MILLIS = 2_000L;
    private static final int RENEWALS_A_LEASE = 5;
    private static final int MARGIN_SHARE = 10;
    private static final int MAX_ASKS = 3;
    private static final long HEARTBEAT_MILLIS = 500L;
    private static final long PLAN_MILLIS = 1_000L;
    private static final long SETTLE_MILLIS = 5_000L;

    private final Foundation foundation;
    private final SideSettings settings;
    private final SideIdentity identity;
    private final PermitLender permitHome;
    private final PeerHandler peer;
    private final SideDoor door;
    private final PlannedItems planned;
    private final AtomicReference<Optional<LeasedPermits>> held = new AtomicReference<>(Optional.empty());
    private final Decisions decisions;
    private final AtomicReference<Optional<SideNode>> node = new AtomicReference<>(Optional.empty());
    private Optional<CompletableFuture<Void>> draining = Optional.empty();

    private SideProcess(Foundation foundation, SideSettings settings, Decisions decisions, long epoch) {
        this.foundation = foundation;
        this.settings = settings;
        this.decisions = decisions;
        this.identity = new SideIdentity(
                foundation.settings().name(),
                foundation.server().address(),
                foundation.settings().dataCentre(),
                settings.service(),
                settings.replica(),
                epoch);
        this.planned = new PlannedItems(
                identity.sideId(),
                identity.serviceName(),
                foundation.members(),
                decisions.placement(),
                foundation.clock(),
                new PlannedItems.Pace(PLAN_MILLIS, SETTLE_MILLIS));
        PermitLender.Slots none = new PermitLender.Slots(settings.replica(), settings.replica() + 1, 0, 0.0, 0);
        this.permitHome = new PermitLender(foundation.clock(), settings.permitLeaseMillis(), PAUSE_MILLIS, none);
        this.peer = new PeerHandler(
                foundation.gossip().handler(), foundation.bundles(), foundation.suspects(), Optional.of(permitHome));
        this.door = new SideDoor(peer, epoch);
    }

    /**
     * Starts a side process. It answers its peers at once and serves when it has a bundle in force.
     *
     * @param settings what it is told.
     * @param decisions how it decides.
     * @return the running process.
     */
    public static SideProcess start(SideSettings settings, Decisions decisions) {
        Foundation foundation = new Foundation(settings.process(), ROLE, RandomGenerator.of("L64X128MixRandom"));
        long epoch = new BootEpoch(foundation.table(), foundation.clock())
                .take(settings.process().name())
                .join();
        SideProcess process = new SideProcess(foundation, settings, decisions, epoch);
        process.run();
        return process;
    }

    /**
     * Starts a side process that decides as the product does.
     *
     * @param settings what it is told.
     * @return the running process.
     */
    public static SideProcess start(SideSettings settings) {
        return start(settings, Decisions.DEFAULT);
    }

    /**
     * Where it listens for other processes.
     *
     * @return the address.
     */
    public HostPort address() {
        return identity.address();
    }

    /**
     * The version of the bundle in force here.
     *
     * @return the version, 0 while there is none.
     */
    public long bundleVersion() {
        return foundation.bundles().version();
    }

    /**
     * Where operators reach it.
     *
     * @return the admin port.
     */
    public int adminPort() {
        return foundation.adminPort();
    }

    /**
     * Whether it has a bundle in force and takes work.
     *
     * @return whether it is ready.
     */
    public boolean isReady() {
        return node.get().isPresent();
    }

    /**
     * Leaves: refuses new work, finishes what runs, then closes. Asked again, it goes on with that.
     *
     * @return completes when closed.
     */
    public synchronized CompletableFuture<Void> drain() {
        if (draining.isEmpty()) {
            CompletableFuture<Void> drained = node.get()
                    .map(running -> running.drain(settings.drainLimitMillis()))
                    .orElseGet(() -> CompletableFuture.completedFuture(null));
            draining = Optional.of(drained.thenRunAsync(this::close));
        }
        return draining.get();
    }

    /**
     * Whether it has begun to leave.
     *
     * @return whether it takes no new work any more.
     */
    public boolean isLeaving() {
        return node.get()
                .map(SideNode::state)
                .filter(state -> state.getValue() >= SideState.LEAVING.getValue())
                .isPresent();
    }

    /**
     * Tells when this process has closed, by a drain or otherwise.
     *
     * @return completes then.
     */
    public CompletableFuture<Void> closed() {
        return foundation.closed();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        node.get().ifPresent(SideNode::close);
        foundation.close();
    }

    private void run() {
        foundation.server().serveSide(door);
        foundation.bundles().onAdopted(this::adopted);
        foundation.observe(this::notReady, this::drain, dump -> dump.section("side", this::state));
        foundation.start();
        every(HEARTBEAT_MILLIS, permitHome::heartbeat);
        every(HEARTBEAT_MILLIS, this::heedMembership);
    }

    /**
     * The others may know of this side what it does not: that a newer process stands in its place, or that the platform
     * is about to take its VM away. Lending on would lend each permit twice; serving on would be cut off by the platform.
     */
    private void heedMembership() {
        foundation.members().side(identity.sideId()).ifPresent(known -> {
            if (known.epoch() > identity.epoch()) {
                permitHome.supersede();
            } else if (known.epoch() == identity.epoch() && known.state() == SideState.LEAVING) {
                drain();
            }
        });
    }

    private Optional<String> notReady() {
        return isReady() ? Optional.empty() : Optional.of("no bundle in force yet");
    }

    private SideDump state() {
        return new SideDump(
                identity,
                node.get().map(SideNode::state).map(Enum::name).orElse("NO_BUNDLE"),
                node.get().map(SideNode::attemptsByState).orElse(Map.of()),
                node.get().flatMap(SideNode::memory),
                orderLoop(),
                permitsByLimit(),
                new SideDump.Placement(planned.share(), planned.homelessModels()));
    }

    private SideDump.OrderLoop orderLoop() {
        long nowMillis = foundation.clock().monotonicMillis();
        return new SideDump.OrderLoop(
                node.get().flatMap(SideNode::lastResidencyReadMillis).map(readMillis -> nowMillis - readMillis),
                node.get().map(SideNode::unplaceableItems).orElse(List.of()));
    }

    private Map<Permits.Limit, SideDump.PermitCount> permitsByLimit() {
        Map<Permits.Limit, SideDump.PermitCount> counts = new EnumMap<>(Permits.Limit.class);
        for (Permits.Limit limit : Permits.Limit.values()) {
            int heldHere = held.get().map(permits -> permits.countInUse(limit)).orElse(0);
            counts.put(limit, new SideDump.PermitCount(permitHome.countLent(limit), heldHere));
        }
        return counts;
    }

    void adopted(Bundle bundle) {
        Optional<Service> service = bundle.service(settings.service());
        if (service.isEmpty()) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "process: Bundle {0} names no service {1}; name it or mend the settings.",
                    bundle.version(),
                    settings.service());
            return;
        }
        permitHome.configure(slots(service.get()));
        if (node.get().isEmpty()) {
            open(service.get());
        }
    }

    /**
     * Failure: a bundle comes while a side that was told to stop before it had one closes its parts. Symptom: it takes
     * requests, and the close cuts them. Both take the same lock, so either the drain finds what was opened or nothing
     * opens any more.
     */
    private synchronized void open(Service service) {
        if (draining.isPresent()) {
            return;
        }
        LeasedPermits permits = permits();
        held.set(Optional.of(permits));
        every(settings.permitLeaseMillis() / RENEWALS_A_LEASE, permits::renew);
        SideNodeBuilder builder = builder(permits);
        SideNode ready = settings.targetKind() == TargetType.PLAIN
                ? builder.forPlainService(new HttpPlainService(
                        foundation.http(), target(), foundation.settings().tableTimeoutMillis()))
                : builder.forModelEngine(engine(), ledger(service));
        node.set(Optional.of(ready));
        ready.start();
        door.open(ready);
    }

    private SideNodeBuilder builder(Permits permits) {
        return new SideNodeBuilder(identity)
                .limits(SideLimits.defaults()
                        .withQueueLimit(settings.queueLimit())
                        .withQuarantineMillis(settings.orderQuarantineMillis())
                        .withAttemptRetentionMillis(settings.attemptRetentionMillis())
                        .withStreamSilenceMillis(settings.streamSilenceMillis())
                        .withPollWaitMillis(settings.pollWaitMillis()))
                .clock(foundation.clock())
                .random(foundation.random())
                .bundles(foundation.bundles())
                .membership(foundation.members())
                .suspects(foundation.suspects())
                .connections(foundation.connections())
                .peer(peer)
                .permits(permits)
                .wantedItems(planned)
                .admissionRule(decisions.admission())
                .meters(foundation.meters());
    }

    private HttpModelEngine engine() {
        return new HttpModelEngine(
                foundation.http(),
                target(),
                foundation.settings().tableTimeoutMillis(),
                settings.streamSilenceMillis());
    }

    private MemoryLedger ledger(Service service) {
        return service.ordersFenced()
                ? MemoryLedger.forFencedEngine(
                        service.memoryBytes(), foundation.clock(), settings.orderQuarantineMillis())
                : MemoryLedger.forUnfencedEngine(
                        service.memoryBytes(), foundation.clock(), settings.orderQuarantineMillis());
    }

    private LeasedPermits permits() {
        return LeasedPermits.forHolder(identity.sideId(), permitHome)
                .withPeers(settings.service(), foundation.members(), foundation.connections())
                .withClock(foundation.clock(), foundation.random())
                .withTotalSlots(limit -> foundation
                        .bundles()
                        .current()
                        .flatMap(bundle -> bundle.service(settings.service()))
                        .map(service -> slots(service).totalSlots(limit))
                        .orElse(0))
                .withBounds(MAX_ASKS, settings.permitLeaseMillis(), settings.permitLeaseMillis() / MARGIN_SHARE)
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

    private HostPort target() {
        return new HostPort(settings.targetUrl().getHost(), settings.targetUrl().getPort());
    }

    private void every(long millis, Runnable task) {
        foundation.scheduler().scheduleAtFixedRate(task, millis, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * How a side decides.
     *
     * @param placement what its target holds.
     * @param admission which requests can still make their deadline.
     */
    public record Decisions(PlacementStrategy placement, AdmissionRule admission) {

        /** The product's. */
        public static final Decisions DEFAULT = new Decisions(
                PlacementStrategy.named("planned", DemandThresholds.DEFAULT), AdmissionRule.WITH_RUN_TIME);
    }
}
