package io.waxwingquay.residency;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.pace.PacePromptPacer;
import io.waxwingquay.reservation.AdapterGate;
import io.waxwingquay.transport.generated.AdapterCall;
import io.waxwingquay.transport.generated.AdapterReply;
import io.waxwingquay.transport.generated.PeerDatagram;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Manages one engine: polls its state, sends status updates about it, and issues orders to it one at a time. */
public final class EngineManager {

    private static final long POLL_MILLIS = 100L;

    /** The interval while the engine is idle and nothing is requested of it, since less can change. */
    private static final long IDLE_POLL_MILLIS = 200L;

    /** The interval while adapters are loading, as callers wait for them. */
    private static final long ADAPTER_POLL_MILLIS = 4L;

    /** The interval while a model is being loaded or evicted, so that each step follows soon after the one before. */
    private static final long MOVE_POLL_MILLIS = 30L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.residency");

    /** The interval at which the engine's state is logged. */
    private static final long STATE_LOG_MILLIS = 2_000L;

    private final EventLoop loop;
    private final String service;
    private final Sender sender;
    private final AdapterPlaces adapterPlaces = new AdapterPlaces(this::adapterState, this::issueNextOrderSoon);
    private final AdapterScheduler adapterScheduler = new AdapterScheduler(adapterPlaces);
    private final PeerUpdates peers;
    private final OrderTracker orders;
    private Optional<Engine> engine = Optional.empty();
    private Optional<EngineReport> report = Optional.empty();
    private Optional<EngineReport> lastReport = Optional.empty();
    private final ModelMover mover = new ModelMover();
    private final EnginePlanner planner;
    private final EngineIdentifier identifier;
    private final EnginePoller poller;
    private final SlotGranting granting;
    private final EngineUpdates updates;

    /**
     * Creates a manager; {@link #start} starts it.
     *
     * @param loop the event loop on which everything runs.
     * @param address the engine's address.
     * @param service the service that the engine belongs to.
     * @param control polls the engine and issues orders to it.
     * @param sender sends datagrams.
     * @param loadLimiter limits loads from the weight store.
     */
    public EngineManager(
            EventLoop loop,
            HostPort address,
            String service,
            EngineControl control,
            Sender sender,
            WeightLoadLimiter loadLimiter) {
        this.loop = loop;
        this.service = service;
        this.peers = new PeerUpdates(service);
        this.sender = sender;
        this.orders = new OrderTracker(control, EventLoop::nowMillis);
        this.planner = new EnginePlanner(address, peers, orders, loadLimiter);
        this.identifier = new EngineIdentifier(control, orders, EventLoop::nowMillis);
        this.poller = new EnginePoller(control, loop::schedule, new Reports());
        this.granting = SlotGranting.withBook(
                peers,
                new PacePromptPacer(),
                adapterPlaces,
                EventLoop::nowMillis,
                loop::schedule,
                poller::poll,
                sender);
        this.updates = new EngineUpdates(address, service, peers, mover, loadLimiter, granting::isInForce, sender);
    }

    /** Starts polling; called on the loop. */
    public void start() {
        planner.start(EventLoop.nowMillis());
        loop.every(STATE_LOG_MILLIS, this::logState);
        pollPeriodically();
    }

    private void pollPeriodically() {
        loop.schedule(isIdle() ? IDLE_POLL_MILLIS : POLL_MILLIS, this::pollPeriodically);
        poller.poll();
    }

    private boolean isIdle() {
        boolean isEngineIdle = report.filter(
                        current -> current.running() + current.waiting() == 0 && !current.executingOrder())
                .isPresent();
        return isEngineIdle
                && !orders.isAwaitingAnswer()
                && !adapterScheduler.hasWaiters()
                && mover.loadingModel().isEmpty();
    }

    /** Logs the engine's state, so that a late answer can later be distinguished from an overloaded engine. */
    private void logState() {
        report.ifPresent(current -> LOG.log(
                System.Logger.Level.INFO,
                "residency: state running={0} waiting={1} kv_tokens={2} ordering={3} models={4}",
                current.running(),
                current.waiting(),
                current.kvUsedTokens(),
                current.executingOrder(),
                current.modelNames()));
        granting.logState();
    }

    /**
     * Sets the engine's specification; its slots are granted when there are enough entries.
     *
     * @param newer the specification in the configuration in force.
     */
    public void configure(Optional<Engine> newer) {
        configureWithoutGranting(newer);
        granting.configure(newer);
    }

    /**
     * Sets the engine's specification where its slots are not granted.
     *
     * @param newer the specification in the configuration in force.
     */
    public void configureWithoutGranting(Optional<Engine> newer) {
        engine = newer;
        granting.configure(Optional.empty());
    }

    /**
     * Returns the gate that loads the adapters of requests for slots of the engine.
     *
     * @return the gate, to be used on the loop.
     */
    public AdapterGate adapterGate() {
        return adapterPlaces;
    }

    /**
     * Sets the models that the previous incarnation of the engine held.
     *
     * @param models the models.
     */
    public void setPreviousModels(PreviousModels models) {
        planner.setPreviousModels(models);
    }

    /**
     * Returns whether an entry has another configuration of the engine than this process.
     *
     * @return whether the configuration should be read again.
     */
    public boolean isConfigurationStale() {
        return peers.hasOtherConfiguration(engine.map(Engine::digest).orElse(0L));
    }

    /**
     * Returns the VM of the entry that has the newest configuration.
     *
     * @return its IP address; empty while no entry sends updates.
     */
    public Optional<String> newestConfigurationHost() {
        return peers.newestTables(EventLoop.nowMillis())
                .map(newest -> newest.getKey().host());
    }

    /**
     * Handles a datagram.
     *
     * @param from the sender.
     * @param datagram the datagram.
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
        } else if (datagram.isSetSlotRequest() || datagram.isSetSlotCancel()) {
            granting.onDatagram(from, datagram);
        }
    }

    /**
     * Sends a full update at once to a process that has restarted.
     *
     * <p>Failure: a process restarts while nothing changes here. Symptom: it assumes that the models held here have
     * no copy, until the next periodic update. So it is sent a full update as soon as its restart is noticed; processes
     * that were not known before are covered by {@link EngineUpdates#sendDue}.
     */
    private void sendFullUpdate(HostPort recipient) {
        report.ifPresent(current -> updates.sendFull(recipient, current, engine, EventLoop.nowMillis()));
    }

    private void onAdapterCall(HostPort from, AdapterCall call) {
        adapterScheduler.addCall(from, call, EventLoop.nowMillis());
        issueNextOrder();
    }

    private void onReport(EngineReport newer) {
        boolean restarted = lastReport.map(known -> hasRestarted(known, newer)).orElse(true);
        lastReport = Optional.of(newer);
        if (restarted) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "residency: engine begins orders={0} models={1} unresolved={2}",
                    newer.ordersTaken(),
                    newer.modelNames(),
                    orders.unresolvedOrders());
            mover.onEngineRestart();
        }
        report = Optional.of(newer);
        orders.onReport(newer, restarted);
        if (restarted) {
            identifier.restarted();
        }
        if (engine.isPresent()) {
            identifier.identify();
        }
        issueNextOrder();
        granting.onReport(newer, updates.routableModelNames(newer));
        sendUpdate();
    }

    /** A restarted engine has another start time; if it reports none, it is empty and has accepted no order. */
    private static boolean hasRestarted(EngineReport before, EngineReport current) {
        boolean isEmptied = current.models().isEmpty() && !before.models().isEmpty();
        return current.bornMillis() != before.bornMillis()
                || current.ordersTaken() < before.ordersTaken()
                || isEmptied && current.ordersTaken() == before.ordersTaken();
    }

    private void onReportFailed(Throwable failure) {
        if (report.isPresent()) {
            LOG.log(System.Logger.Level.WARNING, "residency: engine lost cause={0}", failure.getMessage());
            adapterScheduler.rejectAll(this::sendAdapterReply);
            granting.onEngineLost();
        }
        report = Optional.empty();
    }

    /** Returns the state that decides which adapters can be loaded. */
    private Optional<AdapterPlaces.EngineState> adapterState(long nowMillis) {
        return report.flatMap(current -> engine.map(known -> new AdapterPlaces.EngineState(
                current,
                known.adapterSlots() - orders.reservedAdapterSlots(current),
                () -> peers.adaptersInUse(nowMillis).stream()
                        .map(AdapterName::parse)
                        .collect(Collectors.toSet()))));
    }

    /** Issues the next order after the current task, which may be a decision about slots. */
    private void issueNextOrderSoon() {
        loop.execute(this::issueNextOrder);
    }

    /** Returns whether a request for a slot waits for its adapter. */
    private boolean isAdapterNeeded() {
        return report.filter(current -> adapterPlaces.hasWaiting(current, EventLoop.nowMillis()))
                .isPresent();
    }

    /** Issues the next order, if there is one. */
    private void issueNextOrder() {
        if (report.isEmpty() || engine.isEmpty() || orders.isAwaitingAnswer() || poller.isOutdated()) {
            return;
        }
        EngineReport current = report.get();
        long nowMillis = EventLoop.nowMillis();
        adapterScheduler.replyToWaiters(current, this::sendAdapterReply);
        Optional<EngineControl.Order> adapterOrder = adapterScheduler.nextOrder(
                engine.get(), current, orders.reservedAdapterSlots(current), peers.adaptersInUse(nowMillis), nowMillis);
        if (adapterOrder.isPresent()) {
            issue(adapterOrder.get());
        } else if (!current.executingOrder() && !current.draining()) {
            nextModelOrder(current, nowMillis).ifPresent(this::issue);
        }
        scheduleEarlyPoll();
    }

    private void scheduleEarlyPoll() {
        boolean isMoving = mover.loadingModel().isPresent()
                && report.filter(EngineReport::executingOrder).isEmpty();
        boolean isAdapterAwaited = adapterScheduler.hasWaiters() || isAdapterNeeded();
        if (isAdapterAwaited || isMoving) {
            poller.pollEarly(isAdapterAwaited ? ADAPTER_POLL_MILLIS : MOVE_POLL_MILLIS);
        }
    }

    private Optional<EngineControl.Order> nextModelOrder(EngineReport current, long nowMillis) {
        Optional<String> loadingBefore = mover.loadingModel();
        Optional<EngineControl.Order> order = mover.nextOrder(
                current, planner.plannerFor(engine.get(), current, nowMillis), peers.modelsInUse(nowMillis), nowMillis);
        if (!loadingBefore.equals(mover.loadingModel())) {
            sendUpdate();
        }
        return order;
    }

    private void issue(EngineControl.Order order) {
        adapterPlaces.issued(order, EventLoop.nowMillis());
        orders.issue(order, answer -> {
            adapterPlaces.answered(order, answer, EventLoop.nowMillis());
            mover.onAnswer(order, answer, EventLoop.nowMillis());
            LOG.log(
                    System.Logger.Level.INFO,
                    "residency: order load={0} model={1} adapter={2} after={3} answer={4}",
                    order.load(),
                    order.model(),
                    order.adapter().orElse(""),
                    order.expectedOrdersTaken(),
                    answer);
            pollAfterOrder();
        });
    }

    /** Polls the engine after an order, so that the next order follows at once. */
    private void pollAfterOrder() {
        if (isAdapterNeeded()) {
            poller.pollAnew();
        } else {
            poller.poll();
        }
    }

    private void sendAdapterReply(HostPort entry, long id, boolean present) {
        sender.send(entry, PeerDatagram.adapterReply(new AdapterReply(id, present)));
    }

    private void sendUpdate() {
        report.ifPresent(current -> updates.sendDue(current, engine, EventLoop.nowMillis()));
    }

    /** Takes the results of polls. */
    private final class Reports implements EnginePoller.Listener {

        /** {@inheritDoc} */
        @Override
        public void onReport(EngineReport newer) {
            EngineManager.this.onReport(newer);
        }

        /** {@inheritDoc} */
        @Override
        public void onReportFailed(Throwable failure) {
            EngineManager.this.onReportFailed(failure);
        }
    }

    /** Sends datagrams to other processes. */
    public interface Sender {

        /**
         * Sends a datagram to one process.
         *
         * @param target the receiver.
         * @param datagram the datagram.
         */
        void send(HostPort target, PeerDatagram datagram);

        /**
         * Sends a datagram to several processes.
         *
         * @param targets the receivers.
         * @param datagram the datagram.
         */
        void send(Set<HostPort> targets, PeerDatagram datagram);

        /**
         * Returns the address at which the side of an engine receives datagrams.
         *
         * @param engine the engine's address.
         * @return the address of its side.
         */
        HostPort sideAddress(HostPort engine);
    }
}
