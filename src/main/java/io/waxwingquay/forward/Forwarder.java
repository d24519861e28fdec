package io.waxwingquay.forward;

import io.waxwingquay.admission.RetryBudget;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaDirectory;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.manifest.Route;
import io.waxwingquay.manifest.RouteTable;
import io.waxwingquay.net.ClientPool;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.ServerExchange;
import io.waxwingquay.net.ServerHandler;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.EntryNews;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;
import org.apache.commons.codec.digest.MurmurHash3;
import org.eclipse.jetty.http.HttpFields;

/** Forwards requests of callers to replicas. Not thread-safe: everything runs on the event loop. */
public final class Forwarder implements ServerHandler, ForwardContext, RequestDrain {

    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    /** Retry-after delay of a caller that only this process rejects; it soon reaches another entry. */
    private static final long OTHER_ENTRY_RETRY_AFTER_MILLIS = 200L;

    /** How many times its objective a call of a plain service may take. */
    private static final long MAX_PLAIN_OBJECTIVES = 4L;

    /** Share of a replica's connections used by entries; the rest is left to other clients, such as health checks. */
    private static final double CONNECTION_SHARE = 0.9;

    /** Share of the deployment's retry budget that is used; the rest covers outdated counts of entries. */
    private static final double BUDGET_SHARE = 0.8;

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private final EventLoop loop;
    private final ForwardSettings settings;
    private final MessageCodec codec;
    private final RandomGenerator random;
    private final SuspectTracker suspects;
    private final TargetChooser chooser;
    private final AdapterRequester adapterRequester;
    private final ForwardMetrics metrics;
    private final Runnable onStateChanged;
    private final DemandMeter demandMeter = new DemandMeter();
    private final WaitQueues waitQueues = new WaitQueues();
    private final TargetTable targets;
    private final EntryUpdateWriter updateWriter;
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private final ActiveRequests activeRequests;
    private Optional<Manifest> manifest = Optional.empty();
    private RouteTable routes = RouteTable.of(List.of());
    private final EntryCount entryCount;
    private long exitAtMillis = Long.MAX_VALUE;
    private boolean admitting = true;

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
        this.loop = loop;
        this.settings = settings;
        this.codec = codec;
        this.metrics = metrics;
        this.suspects = suspects;
        this.random = random;
        this.entryCount = new EntryCount(settings.assumedEntryCount());
        this.chooser = new TargetChooser(settings.zone(), random);
        this.adapterRequester = new AdapterRequester(
                loop,
                (target, call) ->
                        engineNotifier.requestAdapter(target.address(), call.id(), call.model(), call.adapter()));
        this.onStateChanged = engineNotifier::demandChanged;
        this.targets = new TargetTable(this::newPool, EventLoop::nowMillis);
        this.updateWriter = new EntryUpdateWriter(targets, demandMeter, EventLoop.nowMillis());
        this.activeRequests = new ActiveRequests(loop);
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
        routes = RouteTable.of(newer.routes());
        targets.all().forEach(target -> target.pool().maxConnections(maxConnections(target.record())));
        LOG.log(
                System.Logger.Level.INFO,
                "forward: configuration in force version={0} routes={1}",
                newer.version(),
                newer.routes().size());
    }

    /**
     * Returns the listener to notify of changes of replicas.
     *
     * @return the listener.
     */
    public ReplicaDirectory.Listener replicaListener() {
        return targets;
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
        exitAtMillis = EventLoop.nowMillis() + millis;
        activeRequests.drain();
    }

    /** {@inheritDoc} */
    @Override
    public void endAdmission() {
        admitting = false;
        activeRequests.terminate();
    }

    /** {@inheritDoc} */
    @Override
    public void handle(ServerExchange caller) {
        if (!admitting) {
            // The process exits without another check of the requests in progress, and would cut off any that is
            // accepted now.
            reject(caller, "this process exits");
            return;
        }
        if (manifest.isEmpty()) {
            reject(caller, "this entry has no configuration yet");
            return;
        }
        MessageCodec.RequestHead head = codec.readRequest(caller.request().fields());
        String host = Optional.ofNullable(caller.request().fields().get("Host")).orElse("");
        Optional<Route> route = routes.find(host, caller.request().path());
        if (route.isEmpty()) {
            metrics.unrouted();
            LOG.log(
                    System.Logger.Level.INFO,
                    "forward: no route id={0} version={1}",
                    head.id(),
                    manifest.get().version());
            caller.respond(NOT_FOUND, HttpFields.EMPTY, "no route matches this host and path");
            return;
        }
        if (mayOutlastProcess(route.get())) {
            reject(caller, "this process is about to exit");
            return;
        }
        Exchange exchange = new Exchange(this, caller, route.get(), head, suspects.forRequest(codec, caller.request()));
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
        targets.currentAt(HostPort.of(update.getEngineAddress())).ifPresent(target -> {
            target.receiverCount(
                    entryCount() + targets.replicaCount(target.record().service()));
            target.update(update, nowMillis);
            if (entryCount.report(target.address(), update.getEntries(), target.updateLifetimeMillis(), nowMillis)) {
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
        return activeRequests.count();
    }

    /** {@inheritDoc} */
    @Override
    public List<String> activeIds() {
        return activeRequests.ids();
    }

    /** {@inheritDoc} */
    @Override
    public MessageCodec codec() {
        return codec;
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
        return budgets.computeIfAbsent(
                service,
                key -> RetryBudget.shared(
                        settings.retryRatio() * BUDGET_SHARE,
                        retryBurstPerEntry(),
                        random.nextDouble(),
                        EventLoop::nowMillis));
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
    public void ended(Exchange exchange, Outcome outcome) {
        activeRequests.remove(exchange);
        long tookMillis = EventLoop.nowMillis() - outcome.arrivedMillis();
        metrics.ended(outcome.status(), tookMillis);
        LOG.log(
                System.Logger.Level.INFO,
                "forward: ended id={0} route={1} service={2} model={3} status={4} sent={5} took_ms={6} first_ms={7} pause_ms={8}"
                        + " waited_ms={9} objective_ms={10} pause_objective_ms={11} why={12}",
                outcome.head().id(),
                outcome.route().name(),
                outcome.service(),
                outcome.head().model().orElse("")
                        + outcome.head().adapter().map(name -> "/" + name).orElse(""),
                outcome.status(),
                outcome.attempts(),
                tookMillis,
                outcome.stream().firstEventMillis(),
                outcome.stream().longestPauseMillis(),
                outcome.stream().waitedMillis(EventLoop.nowMillis()),
                outcome.route().objectiveMillis(),
                outcome.route().pauseObjectiveMillis(),
                outcome.why());
    }

    private void reject(ServerExchange caller, String why) {
        LOG.log(
                System.Logger.Level.INFO,
                "forward: refused id={0} why={1}",
                codec.readRequest(caller.request().fields()).id(),
                why);
        HttpFields fields = codec.refusalFields(Optional.of(jitter(OTHER_ENTRY_RETRY_AFTER_MILLIS)));
        caller.respond(UNAVAILABLE, fields, "it has not run: " + why);
    }

    /**
     * Returns whether the request may still run when this process exits. If it is cut off then, it may have run; if it
     * is rejected now, the caller can turn to another entry.
     */
    private boolean mayOutlastProcess(Route route) {
        if (exitAtMillis == Long.MAX_VALUE) {
            return false;
        }
        long remainingMillis = exitAtMillis - EventLoop.nowMillis();
        return route.kind() == Route.Kind.STREAM || remainingMillis < MAX_PLAIN_OBJECTIVES * route.objectiveMillis();
    }

    /** Has the side processes of engines updated soon about changes of this entry. */
    public void updateSoon() {
        updateWriter.hasten();
        onStateChanged.run();
    }

    private void divideSharedLimits() {
        budgets.values().forEach(budget -> budget.limitBurst(retryBurstPerEntry()));
        targets.all().forEach(target -> target.pool().maxConnections(maxConnections(target.record())));
    }

    private double retryBurstPerEntry() {
        return settings.retryBurst() * BUDGET_SHARE / entryCount();
    }

    private ClientPool newPool(ReplicaRecord record) {
        HostPort address = record.address();
        return new ClientPool(loop, new InetSocketAddress(address.host(), address.port()), maxConnections(record));
    }

    /** Returns the number of connections of this entry; all entries together stay below what a replica accepts. */
    private int maxConnections(ReplicaRecord record) {
        int atReplica = manifest.map(known -> known.services().get(record.service()))
                .map(Manifest.Service::maxConnections)
                .orElse(record.slots());
        return (int) Math.max(1, atReplica * CONNECTION_SHARE / entryCount());
    }
}
