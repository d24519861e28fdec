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

/**
 * Takes callers' requests to replicas. All of it runs on the loop.
 */
public final class Forwarder implements ServerHandler, ForwardContext, RequestDrain {

    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    /** A caller refused by this process alone may come back soon: it reaches another entry. */
    private static final long ELSEWHERE_MILLIS = 200L;

    /** How many times its objective a call of a plain service may take. */
    private static final long PLAIN_OBJECTIVES = 4L;

    /** Kept free at each replica for other callers than our entries, such as health checks. */
    private static final double CONNECTION_SHARE = 0.9;

    /** The part of the deployment's retry budget that is used; the rest covers what the counts of entries miss. */
    private static final double BUDGET_SHARE = 0.8;

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private final EventLoop loop;
    private final ForwardSettings settings;
    private final MessageCodec codec;
    private final RandomGenerator random;
    private final SuspectTracker suspects;
    private final TargetChooser chooser;
    private final AdapterDesk adapters;
    private final ForwardMetrics meters;
    private final Runnable changed;
    private final DemandMeter demand = new DemandMeter();
    private final WaitQueues queues = new WaitQueues();
    private final TargetTable targets;
    private final NewsWriter newsWriter;
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private final ActiveRequests active;
    private Optional<Manifest> manifest = Optional.empty();
    private RouteTable routes = RouteTable.of(List.of());
    private int entries;
    private long exitMillis = Long.MAX_VALUE;
    private boolean admitting = true;

    /**
     * A forwarder without a configuration yet.
     *
     * @param loop where everything runs.
     * @param settings its figures.
     * @param codec reads and writes header fields.
     * @param meters counts what becomes of requests.
     * @param peers tells the processes beside engines.
     * @param suspects requests whose replicas went.
     * @param random the source of noise.
     */
    public Forwarder(
            EventLoop loop,
            ForwardSettings settings,
            MessageCodec codec,
            ForwardMetrics meters,
            EngineNotifier peers,
            SuspectTracker suspects,
            RandomGenerator random) {
        this.loop = loop;
        this.settings = settings;
        this.codec = codec;
        this.meters = meters;
        this.suspects = suspects;
        this.random = random;
        this.entries = settings.assumedEntryCount();
        this.chooser = new TargetChooser(settings.zone(), random);
        this.adapters = new AdapterDesk(
                loop,
                (target, call) -> peers.requestAdapter(target.address(), call.id(), call.model(), call.adapter()));
        this.changed = peers::demandChanged;
        this.targets = new TargetTable(this::pool);
        this.newsWriter = new NewsWriter(targets, demand, EventLoop.nowMillis());
        this.active = new ActiveRequests(loop);
    }

    /**
     * Puts a configuration in force if it is newer than the one that is.
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
        targets.all().forEach(target -> target.pool().limit(connections(target.record())));
        LOG.log(
                System.Logger.Level.INFO,
                "forward: configuration in force version={0} routes={1}",
                newer.version(),
                newer.routes().size());
    }

    /**
     * Where changes among the replicas are to be told.
     *
     * @return the listener.
     */
    public ReplicaDirectory.Listener replicaListener() {
        return targets;
    }

    /**
     * The configuration in force.
     *
     * @return it, empty before the first.
     */
    public Optional<Manifest> manifest() {
        return manifest;
    }

    /** {@inheritDoc} */
    @Override
    public void drainWithin(long millis) {
        exitMillis = EventLoop.nowMillis() + millis;
        active.leave();
    }

    /** {@inheritDoc} */
    @Override
    public void endAdmission() {
        admitting = false;
        active.exit();
    }

    /** {@inheritDoc} */
    @Override
    public void handle(ServerExchange caller) {
        if (!admitting) {
            // The exit follows without another look at what is under way, and would cut whatever is taken now.
            refuse(caller, "this process exits");
            return;
        }
        if (manifest.isEmpty()) {
            refuse(caller, "no configuration is known here yet");
            return;
        }
        MessageCodec.RequestHead ask = codec.readRequest(caller.request().fields());
        String host = Optional.ofNullable(caller.request().fields().get("Host")).orElse("");
        Optional<Route> route = routes.find(host, caller.request().path());
        if (route.isEmpty()) {
            meters.unrouted();
            LOG.log(
                    System.Logger.Level.INFO,
                    "forward: no route id={0} version={1}",
                    ask.id(),
                    manifest.get().version());
            caller.respond(NOT_FOUND, HttpFields.EMPTY, "no route leads there");
            return;
        }
        if (mayOutlast(route.get())) {
            refuse(caller, "this process is about to exit");
            return;
        }
        Exchange exchange = new Exchange(this, caller, route.get(), ask, suspects.of(codec, caller.request()));
        active.add(exchange);
        exchange.start();
    }

    /**
     * Takes in what the process beside an engine tells.
     *
     * @param news the news.
     */
    public void engineUpdate(EngineNews news) {
        long nowMillis = EventLoop.nowMillis();
        targets.livingAt(HostPort.of(news.getEngineAddress())).ifPresent(target -> {
            target.tellers(entries + targets.sizeOf(target.record().service()));
            target.news(news, nowMillis);
        });
        if (news.getEntries() > 0) {
            entries(news.getEntries());
        }
    }

    /**
     * Takes in the answer to a call for an adapter.
     *
     * @param id the call's id.
     * @param present whether the adapter is there.
     */
    public void adapterReply(long id, boolean present) {
        adapters.replied(id, present);
    }

    /**
     * What the process beside each engine is to be told now.
     *
     * @param node the name of this entry's VM.
     * @return the news by the engine's address; none before a configuration is known.
     */
    public Map<HostPort, EntryNews> entryUpdates(String node) {
        return manifest.map(known -> newsWriter.write(node, known, EventLoop.nowMillis()))
                .orElse(Map.of());
    }

    /**
     * How many engines have told of themselves lately.
     *
     * @return engines with fresh news.
     */
    public int freshEngineCount() {
        long nowMillis = EventLoop.nowMillis();
        return (int) targets.all().stream()
                .filter(target -> target.freshNews(nowMillis).isPresent())
                .count();
    }

    /** {@inheritDoc} */
    @Override
    public int activeCount() {
        return active.count();
    }

    /** {@inheritDoc} */
    @Override
    public List<String> activeIds() {
        return active.ids();
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
    public AdapterDesk adapters() {
        return adapters;
    }

    /** {@inheritDoc} */
    @Override
    public DemandMeter demand() {
        return demand;
    }

    /** {@inheritDoc} */
    @Override
    public WaitQueues queues() {
        return queues;
    }

    /** {@inheritDoc} */
    @Override
    public int entryCount() {
        return Math.max(1, entries);
    }

    /** {@inheritDoc} */
    @Override
    public Collection<Target> targets(String service) {
        return targets.of(service);
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
                key -> RetryBudget.sharedBy(
                        settings.retryRatio() * BUDGET_SHARE, burst(), random.nextDouble(), EventLoop::nowMillis));
    }

    /** {@inheritDoc} */
    @Override
    public double uniform(String text) {
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
    public void misdirected(Target target, MessageCodec.RequestHead ask, MessageCodec.ResponseHead reply) {
        Optional<String> other = reply.replicaId().filter(id -> !id.equals(target.id()));
        if (other.isPresent()) {
            target.replaced();
        } else {
            target.misdirected(ask.model(), ask.adapter());
        }
        LOG.log(
                System.Logger.Level.INFO,
                "forward: misdirected id={0} replica={1} answered_by={2}",
                ask.id(),
                target.id(),
                other.orElse(target.id()));
    }

    /** {@inheritDoc} */
    @Override
    public void limited(Target target, OptionalDouble perSecond) {
        target.limit(perSecond, entryCount(), random::nextDouble, EventLoop.nowMillis());
    }

    /** {@inheritDoc} */
    @Override
    public void ended(Exchange exchange, Outcome outcome) {
        active.remove(exchange);
        long tookMillis = EventLoop.nowMillis() - outcome.arrivedMillis();
        meters.ended(outcome.status(), tookMillis);
        LOG.log(
                System.Logger.Level.INFO,
                "forward: ended id={0} route={1} service={2} model={3} status={4} sent={5} took_ms={6} first_ms={7} pause_ms={8}"
                        + " waited_ms={9} objective_ms={10} pause_objective_ms={11} why={12}",
                outcome.ask().id(),
                outcome.route().name(),
                outcome.service(),
                outcome.ask().model().orElse("")
                        + outcome.ask().adapter().map(name -> "/" + name).orElse(""),
                outcome.status(),
                outcome.attempts(),
                tookMillis,
                outcome.stream().firstEventMillis(),
                outcome.stream().longestPauseMillis(),
                outcome.stream().waitedMillis(EventLoop.nowMillis()),
                outcome.route().objectiveMillis(),
                outcome.route().pauseMillis(),
                outcome.why());
    }

    private void refuse(ServerExchange caller, String why) {
        LOG.log(
                System.Logger.Level.INFO,
                "forward: refused id={0} why={1}",
                codec.readRequest(caller.request().fields()).id(),
                why);
        HttpFields fields = codec.refusalFields(Optional.of(jitter(ELSEWHERE_MILLIS)));
        caller.respond(UNAVAILABLE, fields, "it has not run: " + why);
    }

    /** A request that is cut by this process's exit may have run; one that is refused before can go elsewhere. */
    private boolean mayOutlast(Route route) {
        if (exitMillis == Long.MAX_VALUE) {
            return false;
        }
        long leftMillis = exitMillis - EventLoop.nowMillis();
        return route.kind() == Route.Kind.STREAM || leftMillis < PLAIN_OBJECTIVES * route.objectiveMillis();
    }

    /** The processes beside engines should know soon of what has changed here. */
    public void updateSoon() {
        newsWriter.hasten();
        changed.run();
    }

    private void entries(int count) {
        if (count != entries) {
            entries = count;
            budgets.values().forEach(budget -> budget.limitBurst(burst()));
            targets.all().forEach(target -> target.pool().limit(connections(target.record())));
        }
    }

    private double burst() {
        return settings.retryBurst() * BUDGET_SHARE / entries;
    }

    private ClientPool pool(ReplicaRecord record) {
        HostPort address = record.address();
        return new ClientPool(loop, new InetSocketAddress(address.host(), address.port()), connections(record));
    }

    /** All entries together stay below what a replica takes. */
    private int connections(ReplicaRecord record) {
        int atReplica = manifest.map(known -> known.services().get(record.service()))
                .map(Manifest.Service::maxConnections)
                .orElse(record.slots());
        return (int) Math.max(1, atReplica * CONNECTION_SHARE / entries);
    }
}
