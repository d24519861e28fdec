package io.waxwingquay.side;

import io.micrometer.core.instrument.MeterRegistry;
import io.waxwingquay.bundle.BundleSource;
import io.waxwingquay.common.Clock;
import io.waxwingquay.common.DrainGate;
import io.waxwingquay.engine.ModelEngine;
import io.waxwingquay.engine.PlainService;
import io.waxwingquay.ledger.MemoryLedger;
import io.waxwingquay.ledger.MemoryLedger.Snapshot;
import io.waxwingquay.membership.Membership;
import io.waxwingquay.permit.Permits;
import io.waxwingquay.suspect.SuspectRegistry;
import io.waxwingquay.transport.Connections;
import io.waxwingquay.transport.PeerProtocol;
import io.waxwingquay.transport.generated.TargetKind;
import java.util.Optional;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Builds a {@link SideNode}. Properties without a default must be set.
 */
public final class SideNodeBuilder {

    private static final int SCHEDULER_THREADS = 2;

    private final SideIdentity identity;
    private SideLimits limits = SideLimits.defaults();
    private Clock clock = Clock.SYSTEM;
    private RandomGenerator random;
    private BundleSource bundles;
    private Membership membership;
    private SuspectRegistry suspects;
    private Connections connections;
    private PeerProtocol peer;
    private Permits permits;
    private AdmissionRule admissionRule = AdmissionRule.WITH_RUN_TIME;
    private WantedItems wantedItems;
    private MeterRegistry meters;

    /**
     * Creates a builder for one side.
     *
     * @param identity the identity of the side.
     */
    public SideNodeBuilder(SideIdentity identity) {
        this.identity = identity;
    }

    /**
     * Sets the limits.
     *
     * @param value the limits.
     * @return this builder.
     */
    public SideNodeBuilder limits(SideLimits value) {
        limits = value;
        return this;
    }

    /**
     * Sets the clock.
     *
     * @param value the clock.
     * @return this builder.
     */
    public SideNodeBuilder clock(Clock value) {
        clock = value;
        return this;
    }

    /**
     * Sets the source of jitter.
     *
     * @param value the generator.
     * @return this builder.
     */
    public SideNodeBuilder random(RandomGenerator value) {
        random = value;
        return this;
    }

    /**
     * Sets the source of the bundle in force.
     *
     * @param value the source.
     * @return this builder.
     */
    public SideNodeBuilder bundles(BundleSource value) {
        bundles = value;
        return this;
    }

    /**
     * Sets the membership, through which this side is published and the others are known.
     *
     * @param value the membership.
     * @return this builder.
     */
    public SideNodeBuilder membership(Membership value) {
        membership = value;
        return this;
    }

    /**
     * Sets the shared record of crashes and suspects.
     *
     * @param value the record.
     * @return this builder.
     */
    public SideNodeBuilder suspects(SuspectRegistry value) {
        suspects = value;
        return this;
    }

    /**
     * Sets the connections over which suspects are pushed.
     *
     * @param value the connections.
     * @return this builder.
     */
    public SideNodeBuilder connections(Connections value) {
        connections = value;
        return this;
    }

    /**
     * Sets the handler of the calls that any two processes may exchange.
     *
     * @param value the handler.
     * @return this builder.
     */
    public SideNodeBuilder peer(PeerProtocol value) {
        peer = value;
        return this;
    }

    /**
     * Sets the permits of the shared load limits.
     *
     * @param value the permits.
     * @return this builder.
     */
    public SideNodeBuilder permits(Permits value) {
        permits = value;
        return this;
    }

    /**
     * Sets the source of the items that this side should hold in memory.
     *
     * @param value the source.
     * @return this builder.
     */
    public SideNodeBuilder wantedItems(WantedItems value) {
        wantedItems = value;
        return this;
    }

    /**
     * Sets the rule that decides whether a request can still meet its deadline.
     *
     * @param value the rule.
     * @return this builder.
     */
    public SideNodeBuilder admissionRule(AdmissionRule value) {
        admissionRule = value;
        return this;
    }

    /**
     * Sets the registry of metrics.
     *
     * @param value the registry.
     * @return this builder.
     */
    public SideNodeBuilder meters(MeterRegistry value) {
        meters = value;
        return this;
    }

    /**
     * Builds a side whose target is a plain service.
     *
     * @param service the target.
     * @return the side, not started.
     */
    public SideNode forPlainService(PlainService service) {
        SideContext context = context();
        LoadMeter loadMeter = new LoadMeter(clock, random, () -> 0L);
        Target target = new Target.ForPlainService(new PlainRunner(context, service, loadMeter));
        AttemptRegistry attempts = attempts();
        SideRecordPublisher recordPublisher =
                new SideRecordPublisher(context, TargetKind.PLAIN_SERVICE, Optional::empty);
        DrainGate gate = new DrainGate();
        Admission admission = new Admission(context, attempts, gate, target, loadMeter, recordPublisher, admissionRule);
        Housekeeping housekeeping = new Housekeeping(context, attempts, recordPublisher, Optional.empty(), () -> {});
        return new SideNode(
                new SideParts(
                        context,
                        attempts,
                        gate,
                        loadMeter,
                        recordPublisher,
                        admission,
                        housekeeping,
                        Optional.empty(),
                        Optional::empty),
                peer);
    }

    /**
     * Builds a side whose target is a model engine.
     *
     * @param engine the target.
     * @param ledger the memory ledger, for a fenced or unfenced engine as declared in the bundle.
     * @return the side, not started.
     */
    public SideNode forModelEngine(ModelEngine engine, MemoryLedger ledger) {
        SideContext context = context();
        AtomicReference<Runnable> leave = new AtomicReference<>(() -> {});
        AtomicReference<Runnable> runHousekeeping = new AtomicReference<>(() -> {});
        AtomicReference<Admission> admission = new AtomicReference<>();
        new SideMeters(meters, identity.sideId()).registerModel(ledger);
        LoadMeter loadMeter =
                new LoadMeter(clock, random, () -> ledger.snapshot().freeBytes());
        ResidencyLoop residencyLoop = new ResidencyLoop(
                context, engine, ledger, permits, wantedItems, () -> leave.get().run());
        CrashHandler crashHandler = new CrashHandler(context, engine, loadMeter, refusal -> admission
                .get()
                .dispatcher()
                .rejectQueued(refusal));
        ModelRunner runner = new ModelRunner(context, engine, loadMeter, crashHandler);
        Target target =
                new Target.ForModelEngine(context, ledger, residencyLoop, runner, crashHandler, () -> runHousekeeping
                        .get()
                        .run());
        Supplier<Optional<Snapshot>> memory = () -> Optional.of(ledger.snapshot());
        AttemptRegistry attempts = attempts();
        SideRecordPublisher recordPublisher = new SideRecordPublisher(context, TargetKind.MODEL_ENGINE, memory);
        DrainGate gate = new DrainGate();
        admission.set(new Admission(context, attempts, gate, target, loadMeter, recordPublisher, admissionRule));
        Housekeeping housekeeping = new Housekeeping(
                context, attempts, recordPublisher, Optional.of(residencyLoop), runner::reopenSilentStreams);
        SideParts parts = new SideParts(
                context,
                attempts,
                gate,
                loadMeter,
                recordPublisher,
                admission.get(),
                housekeeping,
                Optional.of(residencyLoop),
                memory);
        SideNode node = new SideNode(parts, peer);
        leave.set(node::leave);
        runHousekeeping.set(housekeeping::runNow);
        return node;
    }

    private AttemptRegistry attempts() {
        return new AttemptRegistry(clock, limits.attemptRetentionMillis(), limits.attemptLimit());
    }

    private SideContext context() {
        new SideMeters(meters, identity.sideId()).registerCommon();
        ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(SCHEDULER_THREADS, task -> {
            Thread thread = new Thread(task, "side-" + identity.sideId());
            thread.setDaemon(true);
            return thread;
        });
        scheduler.setRemoveOnCancelPolicy(true);
        return new SideContext(
                identity, limits, clock, random, bundles, membership, suspects, connections, meters, scheduler);
    }
}
