package io.waxwingquay.forward;

import io.waxwingquay.manifest.Engine;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Chooses a replica by the time that a request is expected to wait there. Deterministic except for the random source:
 * the same targets and the same clock give the same costs.
 */
final class TargetChooser {

    /** Factor on the cost of a replica of a plain service for a failure share of one. */
    private static final double FAILURE_COST_FACTOR = 12.0;

    /** Assumed answer time of a replica that has not answered yet. */
    private static final double INITIAL_ANSWER_MILLIS = 20.0;

    /**
     * Time that a load is expected to take, beyond that of the model itself, when no replica reports one in progress.
     */
    private static final long LOAD_START_MILLIS = 700L;

    /** Time after which a full replica is expected to have a slot: that of a few short answers. */
    private static final long FULL_WAIT_MILLIS = 150L;

    /** Time within which all requests that wait for room are checked once. */
    private static final long TURN_WAIT_MILLIS = 15L;

    private final EngineCost engineCost;
    private final RandomGenerator random;
    private final EngineSelection leastCost;
    private final EngineSelection weightedPair;
    private final EngineSelection adapterAffinity;

    TargetChooser(String zone, RandomGenerator random) {
        this(new EngineCost(zone), random, WeightedPair::new, AdapterAffinity::new);
    }

    /** Creates a chooser with other strategies for engines whose slots are granted, with and without an adapter. */
    TargetChooser(
            EngineCost engineCost,
            RandomGenerator random,
            EngineSelection.Factory whereGranted,
            EngineSelection.Factory withAdapter) {
        this.engineCost = engineCost;
        this.random = random;
        this.leastCost = new EngineSelection.LeastCost(engineCost, random);
        this.weightedPair = whereGranted.create(engineCost, random);
        this.adapterAffinity = withAdapter.create(engineCost, random);
    }

    /**
     * Chooses among the replicas of a plain service.
     *
     * @param targets the replicas of the service.
     * @param triedTargets the replicas to which the request was sent already.
     * @param nowMillis the monotonic time.
     */
    Choice choosePlain(Collection<Target> targets, Set<Target> triedTargets, long nowMillis) {
        List<Target> accepting = withoutUnlisted(
                        targets.stream().filter(Target::acceptsRequests).toList())
                .stream()
                .filter(target -> !triedTargets.contains(target))
                .toList();
        List<Target> available = accepting.stream()
                .filter(target -> isAvailable(target, nowMillis))
                .toList();
        return cheapest(available, target -> plainCostMillis(target, nowMillis))
                .<Choice>map(Choice.Send::new)
                .orElseGet(() -> accepting.isEmpty()
                        ? new Choice.NoReplica()
                        : new Choice.Full(
                                Math.max(FULL_WAIT_MILLIS, sendDelayMillis(accepting, nowMillis)),
                                rateLimitDelayMillis(accepting, nowMillis),
                                OptionalLong.empty()));
    }

    /**
     * Chooses among the engines of a service.
     *
     * @param targets the replicas of the service.
     * @param triedTargets the replicas to which the request was sent already.
     * @param engine their configuration.
     * @param requirements what the request requires of an engine.
     * @param nowMillis the monotonic time.
     */
    Choice chooseEngine(
            Collection<Target> targets,
            Set<Target> triedTargets,
            Engine engine,
            EngineRequirements requirements,
            long nowMillis) {
        String model = requirements.model();
        Optional<String> adapter = requirements.adapter();
        List<Target> holding = withoutUnlisted(targets.stream()
                .filter(Target::acceptsRequests)
                .filter(target -> target.holds(model, nowMillis))
                .toList());
        if (holding.isEmpty()) {
            return new Choice.ModelAbsent(expectedReadyMillis(targets, engine, model, nowMillis));
        }
        List<Target> available = responsive(holding, nowMillis).stream()
                .filter(target -> !triedTargets.contains(target))
                .filter(target -> isAvailable(target, nowMillis))
                .toList();
        List<Target> withRoom = withRoom(available, engine, requirements, nowMillis);
        List<Target> eligible = withoutYielded(withRoom, requirements, nowMillis);
        if (eligible.isEmpty()) {
            if (holding.stream().allMatch(triedTargets::contains)) {
                return new Choice.NoReplica();
            }
            Choice.Full full =
                    full(holding, engine, requirements, loadInProgressMillis(targets, model, nowMillis), nowMillis);
            return withRoom.isEmpty() ? full : full.leftToOthersFor(TURN_WAIT_MILLIS);
        }
        Target best = selectionFor(eligible, requirements, nowMillis)
                .select(new EngineSelection.Query(
                        eligible, triedTargets, engine, requirements, Substitutes.lackingAmong(holding), nowMillis));
        if (requirements.slotUse().appliesTo(best, nowMillis)) {
            return new Choice.Reserve(best);
        }
        boolean present =
                adapter.map(name -> best.holdsAdapter(model, name, nowMillis)).orElse(true);
        return present ? new Choice.Send(best) : new Choice.LoadAdapter(best);
    }

    /** Returns the strategy for engines: where slots are granted, entries need not avoid full engines by themselves. */
    EngineSelection selectionFor(List<Target> engines, EngineRequirements requirements, long nowMillis) {
        if (engines.stream().noneMatch(target -> requirements.slotUse().appliesTo(target, nowMillis))) {
            return leastCost;
        }
        return requirements.adapter().isPresent() ? adapterAffinity : weightedPair;
    }

    /**
     * Returns the engines that are expected to have room. If there are none, these are all that grant slots: their side
     * processes decide, and know when there will be room.
     */
    private static List<Target> withRoom(
            List<Target> available, Engine engine, EngineRequirements requirements, long nowMillis) {
        Map<Boolean, List<Target>> byGranting = available.stream()
                .collect(Collectors.partitioningBy(
                        target -> requirements.slotUse().appliesTo(target, nowMillis)));
        List<Target> withRoom = Stream.concat(
                        byGranting.get(true).stream().filter(target -> target.reportedLoad(nowMillis) < engine.slots()),
                        byGranting.get(false).stream()
                                .filter(target ->
                                        target.hasRoomFor(engine.slots(), requirements.kvTokens(), nowMillis)))
                .toList();
        return withRoom.isEmpty() ? byGranting.get(true) : withRoom;
    }

    /**
     * Excludes engines that the request leaves to others if another one can serve it. If none can, it may have to await
     * its turn, except where a side process grants the slots and keeps the order of ranks.
     */
    private static List<Target> withoutYielded(List<Target> withRoom, EngineRequirements requirements, long nowMillis) {
        SlotYield slotYield = requirements.slotYield();
        List<Target> others = withRoom.stream()
                .filter(target -> !slotYield.appliesTo(target, nowMillis))
                .toList();
        if (!others.isEmpty() || !slotYield.awaitsTurn()) {
            return others.isEmpty() ? withRoom : others;
        }
        return withRoom.stream()
                .filter(target -> requirements.slotUse().appliesTo(target, nowMillis))
                .toList();
    }

    /** Returns whether a request for which a slot was granted a moment ago may still be sent there. */
    static boolean mayReceive(Target target, long nowMillis) {
        return !target.declinesRequests(nowMillis)
                && !target.isUnresponsive(nowMillis)
                && isAvailable(target, nowMillis);
    }

    /**
     * Returns whether this entry may send a request to the target now: it is not paused, has a connection, and wants
     * requests by its own answers.
     */
    private static boolean isAvailable(Target target, long nowMillis) {
        return !target.attemptHistory().isPaused(nowMillis)
                && !target.isEngineLost(nowMillis)
                && target.pool().hasCapacity()
                && target.sendDelayMillis(nowMillis) == 0;
    }

    /** Returns the least time until the rate limit of a target lets this entry send again; 0 if one lets it now. */
    private static long rateLimitDelayMillis(List<Target> targets, long nowMillis) {
        return targets.stream()
                .mapToLong(target -> target.rateLimitDelayMillis(nowMillis))
                .min()
                .orElse(0L);
    }

    /** Returns the least time until a target wants requests from this entry again; 0 if one wants them now. */
    private static long sendDelayMillis(List<Target> targets, long nowMillis) {
        return targets.stream()
                .mapToLong(target -> target.sendDelayMillis(nowMillis))
                .min()
                .orElse(0L);
    }

    /**
     * Excludes replicas that may have departed, unless all may have: their rows have then expired together, as in an
     * outage.
     */
    private static List<Target> withoutUnlisted(List<Target> targets) {
        List<Target> remaining =
                targets.stream().filter(target -> !target.mayHaveDeparted()).toList();
        return remaining.isEmpty() ? targets : remaining;
    }

    /**
     * Excludes unresponsive engines, unless all are: the network between our processes may then be cut. Each of these
     * receives one request at a time, whose answer shows that the engine is healthy; more would be held there until
     * their callers leave.
     */
    private static List<Target> responsive(List<Target> engines, long nowMillis) {
        List<Target> responsive = engines.stream()
                .filter(target -> !target.isUnresponsive(nowMillis))
                .toList();
        return responsive.isEmpty()
                ? engines.stream().filter(target -> target.inFlight() == 0).toList()
                : responsive;
    }

    private double plainCostMillis(Target target, long nowMillis) {
        double answerMillis = target.attemptHistory().answerMillis() == 0
                ? INITIAL_ANSWER_MILLIS
                : target.attemptHistory().answerMillis();
        double utilisation =
                (target.inFlight() + 1.0) / Math.max(1, target.record().slots());
        return answerMillis
                        * (1 + utilisation)
                        * (1 + FAILURE_COST_FACTOR * target.attemptHistory().failureShare(nowMillis))
                + engineCost.zoneMillis(target);
    }

    private Optional<Target> cheapest(List<Target> targets, ToDoubleFunction<Target> costMillis) {
        record Costed(Target target, double costMillis) {}
        // Up to a millisecond of noise breaks ties.
        return targets.stream()
                .map(target -> new Costed(target, costMillis.applyAsDouble(target) + random.nextDouble()))
                .min(Comparator.comparingDouble(Costed::costMillis))
                .map(Costed::target);
    }

    private static long expectedReadyMillis(Collection<Target> targets, Engine engine, String model, long nowMillis) {
        OptionalLong inProgressMillis = loadInProgressMillis(targets, model, nowMillis);
        if (inProgressMillis.isPresent()) {
            return inProgressMillis.getAsLong();
        }
        boolean onLocalDisk = targets.stream()
                .map(target -> target.freshUpdate(nowMillis))
                .flatMap(Optional::stream)
                .anyMatch(update -> update.getNearModels().contains(model));
        return engine.model(model)
                        .map(offered -> onLocalDisk ? offered.diskLoadMillis() : offered.storeLoadMillis())
                        .orElse(0L)
                + LOAD_START_MILLIS;
    }

    /** Returns how long until the first of the replicas that are loading a model holds it. */
    private static OptionalLong loadInProgressMillis(Collection<Target> targets, String model, long nowMillis) {
        return targets.stream()
                .filter(target -> target.freshUpdate(nowMillis)
                        .filter(update -> model.equals(update.getLoadingModel()))
                        .isPresent())
                .mapToLong(target -> target.remainingLoadMillis(nowMillis))
                .min();
    }

    /** Estimates when a slot is free: engines at their limit free one each time a stream ends. */
    private static Choice.Full full(
            List<Target> holding,
            Engine engine,
            EngineRequirements requirements,
            OptionalLong copyReadyMillis,
            long nowMillis) {
        int leastLoad = holding.stream()
                .mapToInt(target -> target.expectedLoad(nowMillis))
                .min()
                .orElse(0);
        double slotIntervalMillis = requirements.durationMillis() / (engine.slots() * holding.size());
        double requestsAhead = Math.max(1, leastLoad - engine.slots() + 1);
        long firstSlotMillis = Math.round(requestsAhead * slotIntervalMillis) + FULL_WAIT_MILLIS;
        long rateLimitDelayMillis = rateLimitDelayMillis(holding, nowMillis);
        return new Choice.Full(
                Math.max(firstSlotMillis, sendDelayMillis(holding, nowMillis)),
                Math.max(slotIntervalMillis, rateLimitDelayMillis),
                copyReadyMillis);
    }
}
