package io.waxwingquay.residency;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.peer.NewsNumber;
import io.waxwingquay.transport.generated.AdapterCall;
import io.waxwingquay.transport.generated.AdapterReply;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.HeldModel;
import io.waxwingquay.transport.generated.PeerDatagram;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Looks after one engine: asks it for its state, tells the others, and gives it orders, one after the other.
 */
public final class EngineManager {

    private static final long POLL_MILLIS = 100L;

    /** While the engine has nothing to do, and nothing is asked of it, less can change. */
    private static final long IDLE_POLL_MILLIS = 200L;

    /** While adapters are under way it looks this often, as callers wait for them. */
    private static final long ADAPTER_POLL_MILLIS = 4L;

    /** While a model is being brought in each step follows soon. */
    private static final long MOVE_POLL_MILLIS = 30L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.residency");

    /** How often the engine's state is logged. */
    private static final long STATE_LOG_MILLIS = 2_000L;

    private final EventLoop loop;
    private final HostPort address;
    private final String service;
    private final EngineControl control;
    private final Sender sender;
    private final WeightLoadLimiter loadLimiter;
    private final AdapterScheduler adapterScheduler = new AdapterScheduler();
    private final PeerUpdates peers;
    private final OrderTracker orders;
    private Optional<Engine> engine = Optional.empty();
    private Optional<EngineReport> report = Optional.empty();
    private Optional<EngineReport> lastReport = Optional.empty();
    private final ModelMover mover = new ModelMover();
    private final EnginePlanner planner;
    private boolean pollInFlight;
    private boolean earlyPollScheduled;
    private final NewsNumber updateNumber = new NewsNumber(EventLoop.nowMillis());
    private final UpdateSchedule schedule = new UpdateSchedule();
    private Set<HostPort> lastRecipients = Set.of();

    /**
     * A keeper that has not begun.
     *
     * @param loop where everything runs.
     * @param address the engine.
     * @param service the service that it belongs to.
     * @param control asks and orders the engine.
     * @param sender tells others.
     * @param loadLimiter keeps loads from the weight store below their ceiling.
     */
    public EngineManager(
            EventLoop loop,
            HostPort address,
            String service,
            EngineControl control,
            Sender sender,
            WeightLoadLimiter loadLimiter) {
        this.loop = loop;
        this.address = address;
        this.service = service;
        this.peers = new PeerUpdates(service);
        this.control = control;
        this.sender = sender;
        this.loadLimiter = loadLimiter;
        this.orders = new OrderTracker(control, EventLoop::nowMillis);
        this.planner = new EnginePlanner(address, peers, orders, loadLimiter);
    }

    /** Begins; called on the loop. */
    public void start() {
        planner.start(EventLoop.nowMillis());
        loop.every(STATE_LOG_MILLIS, this::logState);
        pollPeriodically();
    }

    private void pollPeriodically() {
        loop.schedule(isIdle() ? IDLE_POLL_MILLIS : POLL_MILLIS, this::pollPeriodically);
        poll();
    }

    private boolean isIdle() {
        boolean isEngineIdle = report.filter(now -> now.running() + now.waiting() == 0 && !now.executingOrder())
                .isPresent();
        return isEngineIdle
                && !orders.isAwaitingAnswer()
                && !adapterScheduler.hasWaiters()
                && mover.loadingModel().isEmpty();
    }

    /** So that a late answer can be told from a crowded engine afterwards. */
    private void logState() {
        report.ifPresent(now -> LOG.log(
                System.Logger.Level.INFO,
                "residency: state running={0} waiting={1} kv_tokens={2} ordering={3} models={4}",
                now.running(),
                now.waiting(),
                now.kvUsedTokens(),
                now.executingOrder(),
                now.modelNames()));
    }

    /**
     * Sets what the engine is.
     *
     * @param newer the engine of the configuration in force.
     */
    public void configure(Optional<Engine> newer) {
        engine = newer;
    }

    /**
     * Tells what the engine held before this process started.
     *
     * @param models the models.
     */
    public void setPreviousModels(PreviousModels models) {
        planner.setPreviousModels(models);
    }

    /**
     * Whether entries know another configuration of the engine than this process.
     *
     * @return whether the configuration should be read again.
     */
    public boolean isConfigurationStale() {
        return peers.hasOtherConfiguration(engine.map(Engine::digest).orElse(0L));
    }

    /**
     * The VM of the entry that has the newest configuration.
     *
     * @return its IP number; empty while no entry is heard.
     */
    public Optional<String> newestConfigurationHost() {
        return peers.newestTables(EventLoop.nowMillis())
                .map(newest -> newest.getKey().host());
    }

    /**
     * Takes in a datagram.
     *
     * @param from who sent it.
     * @param datagram what it says.
     */
    public void onDatagram(HostPort from, PeerDatagram datagram) {
        long nowMillis = EventLoop.nowMillis();
        if (datagram.isSetEntry()) {
            if (peers.onEntryUpdate(from, datagram.getEntry(), nowMillis)) {
                sendFullUpdate(from);
            }
        } else if (datagram.isSetEngine()) {
            if (peers.onEngineUpdate(datagram.getEngine(), nowMillis)) {
                sendFullUpdate(from);
            }
        } else if (datagram.isSetAdapterCall()) {
            onAdapterCall(from, datagram.getAdapterCall());
        }
    }

    /**
     * Failure: a process starts again while nothing changes here. Symptom: it takes models for missing that are held here,
     * until the next round. So it is told at once when it is heard; those that were not there before are told by
     * {@link #sendUpdate}.
     */
    private void sendFullUpdate(HostPort recipient) {
        report.ifPresent(now -> sender.send(recipient, fullUpdate(now, EventLoop.nowMillis())));
    }

    private void onAdapterCall(HostPort from, AdapterCall call) {
        adapterScheduler.addCall(from, call, EventLoop.nowMillis());
        issueNextOrder();
    }

    private void poll() {
        if (pollInFlight) {
            return;
        }
        pollInFlight = true;
        control.report().whenComplete((newer, failure) -> {
            pollInFlight = false;
            if (failure == null) {
                onReport(newer);
            } else {
                onReportFailed(failure);
            }
        });
    }

    private void onReport(EngineReport newer) {
        boolean restarted = lastReport.map(known -> hasRestarted(known, newer)).orElse(true);
        lastReport = Optional.of(newer);
        if (restarted) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "residency: engine begins orders={0} models={1}",
                    newer.ordersTaken(),
                    newer.modelNames());
            mover.onEngineRestart();
        }
        report = Optional.of(newer);
        orders.onReport(newer, restarted);
        issueNextOrder();
        sendUpdate();
    }

    /** An engine begins empty, with no order taken. */
    private static boolean hasRestarted(EngineReport before, EngineReport now) {
        boolean isEmptied = now.models().isEmpty() && !before.models().isEmpty();
        return now.ordersTaken() < before.ordersTaken() || isEmptied && now.ordersTaken() == before.ordersTaken();
    }

    private void onReportFailed(Throwable failure) {
        if (report.isPresent()) {
            LOG.log(System.Logger.Level.WARNING, "residency: engine lost cause={0}", failure.getMessage());
            adapterScheduler.rejectAll(this::sendAdapterReply);
        }
        report = Optional.empty();
    }

    /** Gives the next order, if there is one. */
    private void issueNextOrder() {
        if (report.isEmpty() || engine.isEmpty() || orders.isAwaitingAnswer()) {
            return;
        }
        EngineReport now = report.get();
        long nowMillis = EventLoop.nowMillis();
        adapterScheduler.replyToWaiters(now, this::sendAdapterReply);
        Optional<EngineControl.Order> adapterOrder =
                adapterScheduler.nextOrder(engine.get(), now, peers.adaptersInUse(nowMillis), nowMillis);
        if (adapterOrder.isPresent()) {
            issue(adapterOrder.get());
        } else if (!now.executingOrder() && !now.draining()) {
            nextModelOrder(now, nowMillis).ifPresent(this::issue);
        }
        scheduleEarlyPoll();
    }

    private void scheduleEarlyPoll() {
        boolean isMoving = mover.loadingModel().isPresent()
                && report.filter(EngineReport::executingOrder).isEmpty();
        if ((adapterScheduler.hasWaiters() || isMoving) && !earlyPollScheduled) {
            earlyPollScheduled = true;
            loop.schedule(adapterScheduler.hasWaiters() ? ADAPTER_POLL_MILLIS : MOVE_POLL_MILLIS, () -> {
                earlyPollScheduled = false;
                poll();
            });
        }
    }

    private Optional<EngineControl.Order> nextModelOrder(EngineReport now, long nowMillis) {
        Optional<String> loadingBefore = mover.loadingModel();
        Optional<EngineControl.Order> order = mover.nextOrder(
                now, planner.plannerFor(engine.get(), now, nowMillis), peers.modelsInUse(nowMillis), nowMillis);
        if (!loadingBefore.equals(mover.loadingModel())) {
            sendUpdate();
        }
        return order;
    }

    private void issue(EngineControl.Order order) {
        orders.issue(order, answer -> {
            mover.onAnswer(order, answer, EventLoop.nowMillis());
            LOG.log(
                    System.Logger.Level.INFO,
                    "residency: order load={0} model={1} adapter={2} after={3} answer={4}",
                    order.load(),
                    order.model(),
                    order.adapter().orElse(""),
                    order.expectedOrdersTaken(),
                    answer);
            poll();
        });
    }

    private void sendAdapterReply(HostPort entry, long id, boolean present) {
        sender.send(entry, PeerDatagram.adapterReply(new AdapterReply(id, present)));
    }

    private void sendUpdate() {
        report.ifPresent(now -> {
            long nowMillis = EventLoop.nowMillis();
            Set<HostPort> recipients = allRecipients(nowMillis);
            Set<HostPort> activeEntries = peers.activeEntries(nowMillis);
            Set<HostPort> newRecipients = recipients.stream()
                    .filter(each -> !lastRecipients.contains(each))
                    .collect(Collectors.toSet());
            lastRecipients = recipients;
            switch (schedule.nextUpdate(status(now, nowMillis), recipients.size(), activeEntries.size(), nowMillis)) {
                case FULL_TO_ALL -> sender.send(recipients, fullUpdate(now, nowMillis));
                case FULL_TO_ACTIVE_ENTRIES -> {
                    newRecipients.addAll(activeEntries);
                    sender.send(newRecipients, fullUpdate(now, nowMillis));
                }
                case LOAD_TO_ACTIVE_ENTRIES -> {
                    sender.send(activeEntries, PeerDatagram.engine(loadUpdate(now, nowMillis)));
                    sender.send(newRecipients, fullUpdate(now, nowMillis));
                }
                default -> sender.send(newRecipients, fullUpdate(now, nowMillis));
            }
        });
    }

    private Set<HostPort> allRecipients(long nowMillis) {
        Set<HostPort> all = new HashSet<>(peers.entryAddresses(nowMillis));
        peers.listedEngines(nowMillis).stream()
                .filter(engineAddress -> !engineAddress.equals(address))
                .forEach(engineAddress -> all.add(sender.sideAddress(engineAddress)));
        return all;
    }

    private UpdateSchedule.EngineStatus status(EngineReport now, long nowMillis) {
        List<HeldModel> routable = routableModels(now);
        return new UpdateSchedule.EngineStatus(
                routable.stream().map(HeldModel::getName).collect(Collectors.toSet()),
                Set.copyOf(hostCachedModels(now)),
                mover.loadingModel(),
                loadLimiter.recentLoads(nowMillis),
                now.draining(),
                peers.newestTables(nowMillis)
                        .map(newest -> newest.getValue().getConfiguration())
                        .orElse(0L),
                routable.stream()
                        .flatMap(model -> model.getAdapters().stream().map(name -> model.getName() + "/" + name))
                        .collect(Collectors.toSet()),
                now.running() + now.waiting());
    }

    private static List<String> hostCachedModels(EngineReport now) {
        return Stream.concat(now.onDisk().stream(), now.inHostMemory().stream())
                .distinct()
                .toList();
    }

    private PeerDatagram fullUpdate(EngineReport now, long nowMillis) {
        return PeerDatagram.engine(loadUpdate(now, nowMillis)
                .setServiceName(service)
                .setModels(routableModels(now))
                .setNearModels(hostCachedModels(now))
                .setModelsInUse(new ArrayList<>(peers.modelsInUse(nowMillis))));
    }

    /** News without models: how busy the engine is. */
    private EngineNews loadUpdate(EngineReport now, long nowMillis) {
        EngineNews update = new EngineNews()
                .setEngineAddress(address.toString())
                .setBornMillis(now.bornMillis())
                .setNumber(updateNumber.next())
                .setRunning(now.running())
                .setWaiting(now.waiting())
                .setKvUsedTokens(now.kvUsedTokens())
                .setKvTotalTokens(now.kvTotalTokens())
                .setStoreLoads(loadLimiter.recentLoads(nowMillis))
                .setDraining(now.draining())
                .setEntries(peers.entryAddresses(nowMillis).size());
        peers.newestTables(nowMillis).ifPresent(newest -> update.setNewestTables(newest.getValue())
                .setNewestTablesHost(newest.getKey().host()));
        mover.loadingModel().ifPresent(model -> {
            update.setLoadingModel(model);
            update.setLoadingMillis(engine.map(known -> mover.remainingMillis(known, now, nowMillis))
                    .orElse(0L));
        });
        return update;
    }

    /** What requests may be sent for: all that is held, but for a model that is about to go. */
    private List<HeldModel> routableModels(EngineReport now) {
        return now.models().stream()
                .filter(model -> !mover.modelsBeingEvicted().contains(model.name()))
                .map(model -> new HeldModel(model.name(), new ArrayList<>(model.adapters())))
                .toList();
    }

    /** Sends datagrams. */
    public interface Sender {

        /**
         * Sends one to a process.
         *
         * @param target where to.
         * @param datagram what.
         */
        void send(HostPort target, PeerDatagram datagram);

        /**
         * Sends one to many.
         *
         * @param targets where to.
         * @param datagram what.
         */
        void send(Set<HostPort> targets, PeerDatagram datagram);

        /**
         * Where the process beside an engine takes datagrams.
         *
         * @param engine the engine.
         * @return the address of the process beside it.
         */
        HostPort sideAddress(HostPort engine);
    }
}
