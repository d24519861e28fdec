package io.waxwingquay.forward;

import io.waxwingquay.account.AllowanceTable;
import io.waxwingquay.admission.RetryBudget;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaDirectory;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.manifest.Route;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.ServerExchange;
import io.waxwingquay.net.ServerHandler;
import io.waxwingquay.origin.StreamName;
import io.waxwingquay.origin.StreamOrigins;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.EntryNews;
import io.waxwingquay.transport.generated.SlotReply;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.apache.commons.codec.digest.MurmurHash3;

/** Forwards requests of callers to replicas. Not thread-safe: everything runs on the event loop. */
public final class Forwarder implements ServerHandler, ForwardContext, RequestDrain {

    /** Bound of the random number at which the ids of requests for slots begin; the rest is enough to count up. */
    private static final long MAX_FIRST_SLOT_ID = Long.MAX_VALUE / 2;

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private final MessageCodec codec;
    private final RandomGenerator random;
    private final SuspectTracker suspects;
    private final TargetChooser chooser;
    private final AdapterRequester adapterRequester;
    private final SlotRequester slotRequester;
    private final CallerAge callerAge = new CallerAge();
    private final ForwardMetrics metrics;
    private final Runnable onStateChanged;
    private final DemandMeter demandMeter = new DemandMeter();
    private final WaitQueues waitQueues = new WaitQueues();
    private final ReplicaPools pools;
    private final TargetTable targets;
    private final IncarnationQueries incarnationQueries;
    private final EntryUpdateWriter updateWriter;
    private final AllowanceTable allowances;
    private final Gatekeeper gatekeeper;
    private final StreamOrigins origins;
    private final RequestIntake intake;
    private final RetryBudgets budgets;
    private final ActiveRequests activeRequests;
    private Optional<Manifest> manifest = Optional.empty();
    private final EntryCount entryCount;

    /**
     * Creates a forwarder without a configuration.
     *
     * @param loop the loop on which everything runs.
     * @param settings the settings.
     * @param codec reads and writes header fields.
     * @param metrics counts requests by outcome.
     * @param engineNotifier notifies the side processes of engines.
     * @param suspects the requests that were running when replicas crashed.
     * @param random the source of randomness.
     */
    public Forwarder(
            EventLoop loop,
            ForwardSettings settings,
            MessageCodec codec,
            ForwardMetrics metrics,
            EngineNotifier engineNotifier,
            SuspectTracker suspects,
            RandomGenerator random) {
        this.codec = codec;
        this.metrics = metrics;
        this.suspects = suspects;
        suspects.onCrash(phase -> metrics.crashSuspected(phase.label()));
        this.random = random;
        this.entryCount = new EntryCount(settings.assumedEntryCount());
        this.chooser = new TargetChooser(settings.zone(), random);
        this.adapterRequester = new AdapterRequester(
                loop,
                (target, call) ->
                        engineNotifier.requestAdapter(target.address(), call.id(), call.model(), call.adapter()));
        this.slotRequester = new SlotRequester(
                new SlotMessages(engineNotifier),
                loop::schedule,
                EventLoop::nowMillis,
                metrics.slots(),
                random.nextLong(MAX_FIRST_SLOT_ID));
        this.budgets = new RetryBudgets(settings, this::entryCount, random);
        this.onStateChanged = engineNotifier::demandChanged;
        this.pools = new ReplicaPools(loop, this::manifest, this::entryCount);
        this.targets = new TargetTable(pools::open, EventLoop::nowMillis, this::isNamedService, this::isEngineService);
        this.incarnationQueries = new IncarnationQueries(loop, codec);
        this.updateWriter = new EntryUpdateWriter(targets, demandMeter, EventLoop.nowMillis());
        this.activeRequests = new ActiveRequests(loop);
        this.allowances = new AllowanceTable(settings.quotaTolerance(), this::entryCount, random, EventLoop::nowMillis);
        this.gatekeeper = new Gatekeeper(allowances, engineNotifier::spendingReportDue);
        this.origins = new StreamOrigins(engineNotifier, loop::schedule, EventLoop::nowMillis);
        StreamContinuation continuation = new StreamContinuation(origins, this::stableUniform, metrics);
        this.intake = new RequestIntake(codec, metrics, gatekeeper, continuation, this::jitter, this::start);
    }

    /** Returns whether the configuration names a service; before the first one, any service may be named. */
    private boolean isNamedService(String service) {
        return manifest.map(known -> known.services().containsKey(service)).orElse(true);
    }

    private boolean isEngineService(String service) {
        return engine(service).isPresent();
    }

    /**
     * Applies a configuration if it is newer than the current one.
     *
     * @param newer the configuration.
     */
    public void manifest(Manifest newer) {
        if (manifest.isPresent() && manifest.get().version() >= newer.version()) {
            return;
        }
        manifest = Optional.of(newer);
        updateSoon();
        gatekeeper.configure(newer);
        intake.configure(newer);
        targets.reassign();
        targets.all().forEach(pools::limit);
        LOG.log(
                System.Logger.Level.INFO,
                "forward: configuration in force version={0} routes={1} accounts={2}",
                newer.version(),
                newer.routes().size(),
                newer.accounts().all().size());
    }

    /**
     * Returns the listener to notify of changes of replicas.
     *
     * @return the listener.
     */
    public ReplicaDirectory.Listener replicaListener() {
        return new ReplicaDirectory.Listener.Compound(List.of(targets, origins.served()));
    }

    /**
     * Returns the current configuration.
     *
     * @return the configuration, empty before the first.
     */
    public Optional<Manifest> manifest() {
        return manifest;
    }

    /** {@inheritDoc} */
    @Override
    public void drainWithin(long millis) {
        intake.drainWithin(millis);
        activeRequests.drain();
    }

    /** {@inheritDoc} */
    @Override
    public void endAdmission() {
        intake.endAdmission();
        activeRequests.terminate();
    }

    /** {@inheritDoc} */
    @Override
    public void handle(ServerExchange caller) {
        intake.handle(caller);
    }

    private void start(
            ServerExchange caller,
            Route route,
            MessageCodec.RequestHead head,
            Admission admission,
            Optional<String> softwareVersion) {
        Suspicion suspicion = suspects.forRequest(RequestFingerprints.of(codec, caller.request(), head));
        Exchange exchange = new Exchange(this, caller, route, head, admission, suspicion, softwareVersion);
        activeRequests.add(exchange);
        exchange.start();
    }

    /**
     * Processes a status update of the side process of an engine.
     *
     * @param update the update.
     */
    public void engineUpdate(EngineNews update) {
        long nowMillis = EventLoop.nowMillis();
        HostPort.ofNumeric(update.getEngineAddress())
                .flatMap(targets::currentAt)
                .ifPresent(target -> {
                    target.receiverCount(
                            entryCount() + targets.replicaCount(target.record().service()));
                    target.update(update, nowMillis);
                    if (entryCount.report(
                            target.address(), update.getEntries(), target.updateLifetimeMillis(), nowMillis)) {
                        divideSharedLimits();
                    }
                });
    }

    /**
     * Processes the answer to a call for an adapter.
     *
     * @param id the id of the call.
     * @param present whether the adapter is loaded.
     */
    public void adapterReply(long id, boolean present) {
        adapterRequester.answered(id, present);
    }

    /**
     * Processes the answer to a request for a slot.
     *
     * @param reply the answer.
     */
    public void slotReply(SlotReply reply) {
        slotRequester.replied(reply);
    }

    /**
     * Returns the status updates that are due now.
     *
     * @param node the name of the VM of this entry.
     * @return the updates by address of the engine; none before a configuration is known.
     */
    public Map<HostPort, EntryNews> entryUpdates(String node) {
        return manifest.map(known -> updateWriter.write(node, known, EventLoop.nowMillis()))
                .orElse(Map.of());
    }

    /**
     * Returns the number of engines with a recent status update.
     *
     * @return the number of engines.
     */
    public int freshEngineCount() {
        long nowMillis = EventLoop.nowMillis();
        return (int) targets.all().stream()
                .filter(target -> target.freshUpdate(nowMillis).isPresent())
                .count();
    }

    /** {@inheritDoc} */
    @Override
    public int activeCount() {
        return activeRequests.count() + intake.pendingCount();
    }

    /** {@inheritDoc} */
    @Override
    public List<String> activeIds() {
        return activeRequests.ids();
    }

    /** {@inheritDoc} */
    @Override
    public List<String> activeStates() {
        return activeRequests.states();
    }

    /** {@inheritDoc} */
    @Override
    public MessageCodec codec() {
        return codec;
    }

    /** {@inheritDoc} */
    @Override
    public ForwardMetrics metrics() {
        return metrics;
    }

    /** {@inheritDoc} */
    @Override
    public TargetChooser chooser() {
        return chooser;
    }

    /** {@inheritDoc} */
    @Override
    public AdapterRequester adapterRequester() {
        return adapterRequester;
    }

    /** {@inheritDoc} */
    @Override
    public SlotRequester slotRequester() {
        return slotRequester;
    }

    /** {@inheritDoc} */
    @Override
    public CallerAge callerAge() {
        return callerAge;
    }

    /** {@inheritDoc} */
    @Override
    public DemandMeter demandMeter() {
        return demandMeter;
    }

    /** {@inheritDoc} */
    @Override
    public WaitQueues waitQueues() {
        return waitQueues;
    }

    /** {@inheritDoc} */
    @Override
    public Gatekeeper gatekeeper() {
        return gatekeeper;
    }

    /**
     * Returns what this entry may spend of the quotas of client accounts.
     *
     * @return the allowances, whose reports are to be sent.
     */
    public AllowanceTable allowances() {
        return allowances;
    }

    /**
     * Returns what this entry knows of the origins of streams.
     *
     * @return the origins.
     */
    public StreamOrigins origins() {
        return origins;
    }

    /**
     * Returns the engines of all services.
     *
     * @return their addresses.
     */
    public Set<HostPort> engineAddresses() {
        return manifest.stream()
                .flatMap(known -> known.services().values().stream())
                .filter(service -> service.engine().isPresent())
                .flatMap(service -> targets.ofService(service.name()).stream())
                .map(Target::address)
                .collect(Collectors.toSet());
    }

    /** {@inheritDoc} */
    @Override
    public int entryCount() {
        return entryCount.current();
    }

    /** {@inheritDoc} */
    @Override
    public Collection<Target> targets(String service) {
        return targets.ofService(service);
    }

    /** {@inheritDoc} */
    @Override
    public Optional<Engine> engine(String service) {
        return manifest.flatMap(known -> known.engine(service));
    }

    /** {@inheritDoc} */
    @Override
    public RetryBudget budget(String service) {
        return budgets.ofService(service);
    }

    /** {@inheritDoc} */
    @Override
    public void checkIn(long delayMillis) {
        activeRequests.checkIn(delayMillis);
    }

    /** {@inheritDoc} */
    @Override
    public double stableUniform(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return (MurmurHash3.hash32x86(bytes) >>> 1) / (double) Integer.MAX_VALUE;
    }

    /** {@inheritDoc} */
    @Override
    public long jitter(long millis) {
        return millis + random.nextLong(millis / 2 + 1);
    }

    /** {@inheritDoc} */
    @Override
    public void modelMissed() {
        updateSoon();
    }

    /** {@inheritDoc} */
    @Override
    public void misdirected(Target target, MessageCodec.RequestHead request, MessageCodec.ResponseHead response) {
        Optional<String> other = response.replicaId().filter(id -> !id.equals(target.id()));
        if (other.isPresent()) {
            target.markReplaced();
            targets.reassign();
        } else {
            target.misdirected(request.model(), request.adapter());
        }
        LOG.log(
                System.Logger.Level.INFO,
                "forward: misdirected id={0} replica={1} answered_by={2}",
                request.id(),
                target.id(),
                other.orElse(target.id()));
    }

    /** {@inheritDoc} */
    @Override
    public void rateLimitAnnounced(Target target, OptionalDouble perSecond) {
        target.rateLimitAnnounced(perSecond, entryCount(), random::nextDouble, EventLoop.nowMillis());
    }

    /** {@inheritDoc} */
    @Override
    public void streamBegan(MessageCodec.RequestHead head, Target target, Optional<String> softwareVersion) {
        origins.began(
                new StreamName(target.record().service(), head.streamId()),
                softwareVersion.orElse(StreamOrigins.UNKNOWN_VERSION));
    }

    /** {@inheritDoc} */
    @Override
    public void confirmIncarnation(Target target) {
        incarnationQueries.ask(target);
    }

    /** {@inheritDoc} */
    @Override
    public void confirmIncarnationThen(Target target, Runnable task) {
        incarnationQueries.askThen(target, task);
    }

    /** {@inheritDoc} */
    @Override
    public void ended(Exchange exchange, Outcome outcome) {
        activeRequests.remove(exchange);
        if (outcome.isCompleteStream()) {
            origins.completed(new StreamName(outcome.service(), outcome.head().streamId()));
        }
        long tookMillis = EventLoop.nowMillis() - outcome.arrivedMillis();
        metrics.ended(outcome.status(), tookMillis);
        outcome.log(EventLoop.nowMillis());
    }

    /** Has the side processes of engines updated soon about changes of this entry. */
    public void updateSoon() {
        updateWriter.hasten();
        onStateChanged.run();
    }

    private void divideSharedLimits() {
        budgets.divide();
        targets.all().forEach(pools::limit);
    }
}
