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

    private static final long LOOK_MILLIS = 100L;

    /** While the engine has nothing to do, and nothing is asked of it, less can change. */
    private static final long LOOK_RESTING_MILLIS = 200L;

    /** While adapters are under way it looks this often, as callers wait for them. */
    private static final long LOOK_SOON_MILLIS = 4L;

    /** While a model is being brought in each step follows soon. */
    private static final long LOOK_MOVING_MILLIS = 30L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.residency");

    /** How often the engine's state is logged. */
    private static final long STATE_MILLIS = 2_000L;

    private final EventLoop loop;
    private final HostPort address;
    private final String service;
    private final EngineControl control;
    private final Sender sender;
    private final WeightLoadLimiter pace;
    private final AdapterShelf shelf = new AdapterShelf();
    private final Neighbours neighbours;
    private final OrderBook orders;
    private Optional<Engine> engine = Optional.empty();
    private Optional<EngineReport> report = Optional.empty();
    private Optional<EngineReport> lastReport = Optional.empty();
    private final ModelMover mover = new ModelMover();
    private final EnginePlanner planner;
    private boolean asking;
    private boolean lookSoon;
    private final NewsNumber number = new NewsNumber(EventLoop.nowMillis());
    private final NewsRounds rounds = new NewsRounds();
    private Set<HostPort> told = Set.of();

    /**
     * A keeper that has not begun.
     *
     * @param loop where everything runs.
     * @param address the engine.
     * @param service the service that it belongs to.
     * @param control asks and orders the engine.
     * @param sender tells others.
     * @param pace keeps loads from the weight store below their ceiling.
     */
    public EngineManager(
            EventLoop loop,
            HostPort address,
            String service,
            EngineControl control,
            Sender sender,
            WeightLoadLimiter pace) {
        this.loop = loop;
        this.address = address;
        this.service = service;
        this.neighbours = new Neighbours(service);
        this.control = control;
        this.sender = sender;
        this.pace = pace;
        this.orders = new OrderBook(control, EventLoop::nowMillis);
        this.planner = new EnginePlanner(address, neighbours, orders, pace);
    }

    /** Begins; called on the loop. */
    public void start() {
        planner.begin(EventLoop.nowMillis());
        loop.every(STATE_MILLIS, this::logState);
        keepLooking();
    }

    private void keepLooking() {
        loop.schedule(isResting() ? LOOK_RESTING_MILLIS : LOOK_MILLIS, this::keepLooking);
        look();
    }

    private boolean isResting() {
        boolean isIdle = report.filter(now -> now.running() + now.waiting() == 0 && !now.executingOrder())
                .isPresent();
        return isIdle
                && !orders.isOpen()
                && !shelf.isWaiting()
                && mover.coming().isEmpty();
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
        planner.earlier(models);
    }

    /**
     * Whether entries know another configuration of the engine than this process.
     *
     * @return whether the configuration should be read again.
     */
    public boolean isConfigurationStale() {
        return neighbours.isOtherConfiguration(engine.map(Engine::digest).orElse(0L));
    }

    /**
     * The VM of the entry that has the newest configuration.
     *
     * @return its IP number; empty while no entry is heard.
     */
    public Optional<String> newestConfigurationHost() {
        return neighbours.newestTables(EventLoop.nowMillis()).map(newest -> newest.getKey()
                .host());
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
            if (neighbours.entry(from, datagram.getEntry(), nowMillis)) {
                welcome(from);
            }
        } else if (datagram.isSetEngine()) {
            if (neighbours.engine(datagram.getEngine(), nowMillis)) {
                welcome(from);
            }
        } else if (datagram.isSetAdapterCall()) {
            adapterCall(from, datagram.getAdapterCall());
        }
    }

    /**
     * Failure: a process starts again while nothing changes here. Symptom: it takes models for missing that are held here,
     * until the next round. So it is told at once when it is heard; those that were not there before are told by
     * {@link #tell}.
     */
    private void welcome(HostPort newcomer) {
        report.ifPresent(now -> sender.send(newcomer, whole(now, EventLoop.nowMillis())));
    }

    private void adapterCall(HostPort from, AdapterCall call) {
        shelf.call(from, call, EventLoop.nowMillis());
        act();
    }

    private void look() {
        if (asking) {
            return;
        }
        asking = true;
        control.report().whenComplete((newer, failure) -> {
            asking = false;
            if (failure == null) {
                reported(newer);
            } else {
                lost(failure);
            }
        });
    }

    private void reported(EngineReport newer) {
        boolean otherLife = lastReport.map(known -> isOtherLife(known, newer)).orElse(true);
        lastReport = Optional.of(newer);
        if (otherLife) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "residency: engine begins orders={0} models={1}",
                    newer.ordersTaken(),
                    newer.modelNames());
            mover.lost();
        }
        report = Optional.of(newer);
        orders.reported(newer, otherLife);
        act();
        tell();
    }

    /** An engine begins empty, with no order taken. */
    private static boolean isOtherLife(EngineReport before, EngineReport now) {
        boolean emptied = now.models().isEmpty() && !before.models().isEmpty();
        return now.ordersTaken() < before.ordersTaken() || emptied && now.ordersTaken() == before.ordersTaken();
    }

    private void lost(Throwable failure) {
        if (report.isPresent()) {
            LOG.log(System.Logger.Level.WARNING, "residency: engine lost cause={0}", failure.getMessage());
            shelf.refuseAll(this::reply);
        }
        report = Optional.empty();
    }

    /** Gives the next order, if there is one. */
    private void act() {
        if (report.isEmpty() || engine.isEmpty() || orders.isOpen()) {
            return;
        }
        EngineReport now = report.get();
        long nowMillis = EventLoop.nowMillis();
        shelf.settle(now, this::reply);
        Optional<EngineControl.Order> adapterOrder =
                shelf.next(engine.get(), now, neighbours.adaptersInUse(nowMillis), nowMillis);
        if (adapterOrder.isPresent()) {
            give(adapterOrder.get());
        } else if (!now.executingOrder() && !now.draining()) {
            modelOrder(now, nowMillis).ifPresent(this::give);
        }
        lookSoon();
    }

    private void lookSoon() {
        boolean isMoving = mover.coming().isPresent()
                && report.filter(EngineReport::executingOrder).isEmpty();
        if ((shelf.isWaiting() || isMoving) && !lookSoon) {
            lookSoon = true;
            loop.schedule(shelf.isWaiting() ? LOOK_SOON_MILLIS : LOOK_MOVING_MILLIS, () -> {
                lookSoon = false;
                look();
            });
        }
    }

    private Optional<EngineControl.Order> modelOrder(EngineReport now, long nowMillis) {
        Optional<String> before = mover.coming();
        Optional<EngineControl.Order> order =
                mover.next(now, planner.at(engine.get(), now, nowMillis), neighbours.modelsInUse(nowMillis), nowMillis);
        if (!before.equals(mover.coming())) {
            tell();
        }
        return order;
    }

    private void give(EngineControl.Order order) {
        orders.give(order, answer -> {
            mover.answered(order, answer, EventLoop.nowMillis());
            LOG.log(
                    System.Logger.Level.INFO,
                    "residency: order load={0} model={1} adapter={2} after={3} answer={4}",
                    order.load(),
                    order.model(),
                    order.adapter().orElse(""),
                    order.expectedOrdersTaken(),
                    answer);
            look();
        });
    }

    private void reply(HostPort entry, long id, boolean present) {
        sender.send(entry, PeerDatagram.adapterReply(new AdapterReply(id, present)));
    }

    private void tell() {
        report.ifPresent(now -> {
            long nowMillis = EventLoop.nowMillis();
            Set<HostPort> everyone = everyone(nowMillis);
            Set<HostPort> users = neighbours.users(nowMillis);
            Set<HostPort> newcomers =
                    everyone.stream().filter(each -> !told.contains(each)).collect(Collectors.toSet());
            told = everyone;
            switch (rounds.next(matter(now, nowMillis), everyone.size(), users.size(), nowMillis)) {
                case WHOLE_TO_ALL -> sender.send(everyone, whole(now, nowMillis));
                case WHOLE_TO_USERS -> {
                    newcomers.addAll(users);
                    sender.send(newcomers, whole(now, nowMillis));
                }
                case LOAD_TO_USERS -> {
                    sender.send(users, PeerDatagram.engine(load(now, nowMillis)));
                    sender.send(newcomers, whole(now, nowMillis));
                }
                default -> sender.send(newcomers, whole(now, nowMillis));
            }
        });
    }

    private Set<HostPort> everyone(long nowMillis) {
        Set<HostPort> all = new HashSet<>(neighbours.entryAddresses(nowMillis));
        neighbours.listedEngines(nowMillis).stream()
                .filter(engineAddress -> !engineAddress.equals(address))
                .forEach(engineAddress -> all.add(sender.sideAddress(engineAddress)));
        return all;
    }

    private NewsRounds.Matter matter(EngineReport now, long nowMillis) {
        List<HeldModel> offered = offered(now);
        return new NewsRounds.Matter(
                offered.stream().map(HeldModel::getName).collect(Collectors.toSet()),
                Set.copyOf(near(now)),
                mover.coming(),
                pace.recentLoads(nowMillis),
                now.draining(),
                neighbours
                        .newestTables(nowMillis)
                        .map(newest -> newest.getValue().getConfiguration())
                        .orElse(0L),
                offered.stream()
                        .flatMap(model -> model.getAdapters().stream().map(name -> model.getName() + "/" + name))
                        .collect(Collectors.toSet()),
                now.running() + now.waiting());
    }

    private static List<String> near(EngineReport now) {
        return Stream.concat(now.onDisk().stream(), now.inHostMemory().stream())
                .distinct()
                .toList();
    }

    private PeerDatagram whole(EngineReport now, long nowMillis) {
        return PeerDatagram.engine(load(now, nowMillis)
                .setServiceName(service)
                .setModels(offered(now))
                .setNearModels(near(now))
                .setModelsInUse(new ArrayList<>(neighbours.modelsInUse(nowMillis))));
    }

    /** News without models: how busy the engine is. */
    private EngineNews load(EngineReport now, long nowMillis) {
        EngineNews news = new EngineNews()
                .setEngineAddress(address.toString())
                .setBornMillis(now.bornMillis())
                .setNumber(number.next())
                .setRunning(now.running())
                .setWaiting(now.waiting())
                .setKvUsedTokens(now.kvUsedTokens())
                .setKvTotalTokens(now.kvTotalTokens())
                .setStoreLoads(pace.recentLoads(nowMillis))
                .setDraining(now.draining())
                .setEntries(neighbours.entryAddresses(nowMillis).size());
        neighbours.newestTables(nowMillis).ifPresent(newest -> news.setNewestTables(newest.getValue())
                .setNewestTablesHost(newest.getKey().host()));
        mover.coming().ifPresent(model -> {
            news.setLoadingModel(model);
            news.setLoadingMillis(engine.map(known -> mover.remainingMillis(known, now, nowMillis))
                    .orElse(0L));
        });
        return news;
    }

    /** What requests may be sent for: all that is held, but for a model that is about to go. */
    private List<HeldModel> offered(EngineReport now) {
        return now.models().stream()
                .filter(model -> !mover.leaving().contains(model.name()))
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
