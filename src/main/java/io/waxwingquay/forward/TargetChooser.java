package io.waxwingquay.forward;

import io.waxwingquay.fleet.LatenessCurve;
import io.waxwingquay.manifest.Engine;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Chooses a replica by the time that a request is expected to wait there. Pure but for the random source: the same
 * targets and the same clock give the same costs.
 */
final class TargetChooser {

    /** A replica in another data centre costs a round trip and priced bytes; it wins when it is less busy by this. */
    private static final double OTHER_ZONE_MILLIS = 4.0;

    /** How much a replica that fails is dearer, for a failure share of one. */
    private static final double FAILURE_FACTOR = 12.0;

    /** What is assumed of a replica that has not answered yet. */
    private static final double UNKNOWN_ANSWER_MILLIS = 20.0;

    /** How much dearer a busy engine is: at full batch each token takes about this longer over a short answer. */
    private static final double FULL_BATCH_MILLIS = 60.0;

    /** What a late answer costs against a millisecond of a timely one, and what a failed one does. */
    private static final double LATE_MILLIS = 400.0;

    private static final double FAILED_MILLIS = 600.0;

    /** The part of an engine's time to a first event that counts; most of it is the prompts' own. */
    private static final double SLOWNESS_SHARE = 0.5;

    /** No engine is passed over for slowness more than for failing. */
    private static final double MOST_SLOWNESS_MILLIS = 300.0;

    /** Time to have an adapter loaded, and to have another one make way for it first. */
    private static final double ADAPTER_MILLIS = 25.0;

    private static final double ADAPTER_EVICTION_MILLIS = 40.0;
    private static final double ADAPTER_SLOTS_TAKEN_MILLIS = 1_000.0;

    /** Draws entries to the same replica for an adapter that none holds yet. */
    private static final double AFFINITY_MILLIS = 15.0;

    /** How long a load is expected to take when no replica tells of one under way. */
    private static final long LEAST_LOAD_MILLIS = 700L;

    /** When a replica that was full is expected to have room: a few short answers' time. */
    private static final long FULL_RETRY_MILLIS = 150L;

    private final String zone;
    private final RandomGenerator random;

    TargetChooser(String zone, RandomGenerator random) {
        this.zone = zone;
        this.random = random;
    }

    /**
     * Chooses among the replicas of a plain service.
     *
     * @param targets the service's replicas.
     * @param tried those that this request was sent to already.
     * @param nowMillis the steady time.
     */
    Choice choosePlain(Collection<Target> targets, Set<Target> tried, long nowMillis) {
        List<Target> there = sureToStay(
                        targets.stream().filter(Target::takesWork).toList())
                .stream()
                .filter(target -> !tried.contains(target))
                .toList();
        List<Target> open =
                there.stream().filter(target -> isOpen(target, nowMillis)).toList();
        return cheapest(open, target -> plainMillis(target, nowMillis))
                .<Choice>map(Choice.Send::new)
                .orElseGet(() -> there.isEmpty()
                        ? new Choice.Nowhere()
                        : new Choice.Full(
                                Math.max(FULL_RETRY_MILLIS, limitedMillis(there, nowMillis)),
                                limitedMillis(there, nowMillis),
                                OptionalLong.empty()));
    }

    /**
     * Chooses among the engines of a service.
     *
     * @param targets the service's replicas.
     * @param tried those that this request was sent to already.
     * @param engine what they are.
     * @param need what the request needs of one.
     * @param nowMillis the steady time.
     */
    Choice chooseEngine(Collection<Target> targets, Set<Target> tried, Engine engine, EngineNeed need, long nowMillis) {
        String model = need.model();
        Optional<String> adapter = need.adapter();
        List<Target> holding = sureToStay(targets.stream()
                .filter(Target::takesWork)
                .filter(target -> target.holds(model, nowMillis))
                .toList());
        if (holding.isEmpty()) {
            return new Choice.ModelAbsent(readyMillis(targets, engine, model, nowMillis));
        }
        List<Target> open = heardOf(holding, nowMillis).stream()
                .filter(target -> !tried.contains(target))
                .filter(target -> isOpen(target, nowMillis))
                .toList();
        List<Target> roomy = open.stream()
                .filter(target -> target.hasRoomFor(engine.slots(), need.tokens(), nowMillis))
                .toList();
        if (roomy.isEmpty()) {
            return holding.stream().allMatch(tried::contains)
                    ? new Choice.Nowhere()
                    : full(holding, engine, need, loadUnderWay(targets, model, nowMillis), nowMillis);
        }
        Target best = cheapest(roomy, target -> engineMillis(target, engine, need, nowMillis))
                .orElseThrow();
        boolean present =
                adapter.map(name -> best.holdsAdapter(model, name, nowMillis)).orElse(true);
        return present ? new Choice.Send(best) : new Choice.LoadAdapter(best);
    }

    /** Whether nothing in this entry's way keeps a request from it now. */
    private static boolean isOpen(Target target, long nowMillis) {
        return !target.tries().isPaused(nowMillis)
                && target.pool().hasCapacity()
                && target.limitedMillis(nowMillis) == 0;
    }

    /** How long until the limit of one of them lets this entry send again; 0 if one lets it now. */
    private static long limitedMillis(List<Target> targets, long nowMillis) {
        return targets.stream()
                .mapToLong(target -> target.limitedMillis(nowMillis))
                .min()
                .orElse(0L);
    }

    /** Leaves out those that may have left, unless all may: then their rows have lapsed together, as in an outage. */
    private static List<Target> sureToStay(List<Target> targets) {
        List<Target> staying =
                targets.stream().filter(target -> !target.mayHaveLeft()).toList();
        return staying.isEmpty() ? targets : staying;
    }

    /**
     * Leaves out engines that are silent, unless all are: then the ways between our processes may be cut. Each of these takes
     * one request at a time, whose answer shows that it is well; more would be held there until their callers leave.
     */
    private static List<Target> heardOf(List<Target> engines, long nowMillis) {
        List<Target> heard =
                engines.stream().filter(target -> !target.isSilent(nowMillis)).toList();
        return heard.isEmpty()
                ? engines.stream().filter(target -> target.inFlight() == 0).toList()
                : heard;
    }

    private double plainMillis(Target target, long nowMillis) {
        double answer = target.tries().answerMillis() == 0
                ? UNKNOWN_ANSWER_MILLIS
                : target.tries().answerMillis();
        double busy = (target.inFlight() + 1.0) / Math.max(1, target.record().slots());
        return answer * (1 + busy) * (1 + FAILURE_FACTOR * target.tries().failureShare(nowMillis)) + zoneMillis(target);
    }

    private double engineMillis(Target target, Engine engine, EngineNeed need, long nowMillis) {
        double busy = target.expectedLoad(nowMillis) / (double) engine.slots();
        double slow =
                Math.min(MOST_SLOWNESS_MILLIS, SLOWNESS_SHARE * target.tries().recentAnswerMillis(nowMillis));
        double base = FULL_BATCH_MILLIS * busy
                + LATE_MILLIS * LatenessCurve.lateShare(busy)
                + FAILED_MILLIS * target.tries().failureShare(nowMillis)
                + slow;
        double adapterMillis = need.adapter()
                .map(name -> adapterMillis(target, engine, need.model(), name, nowMillis))
                .orElse(0.0);
        return base + adapterMillis + zoneMillis(target);
    }

    private double adapterMillis(Target target, Engine engine, String model, String adapter, long nowMillis) {
        if (target.holdsAdapter(model, adapter, nowMillis)) {
            return 0;
        }
        long loadingMillis = target.loadingMillis(nowMillis);
        if (loadingMillis > 0) {
            return ADAPTER_EVICTION_MILLIS + loadingMillis;
        }
        double affinity = AFFINITY_MILLIS * uniform(target.id(), adapter);
        if (target.adaptersInUse().size() >= engine.adapterSlots()) {
            return ADAPTER_SLOTS_TAKEN_MILLIS + affinity;
        }
        boolean free = target.adaptersHeld(nowMillis) < engine.adapterSlots();
        return (free ? ADAPTER_MILLIS : ADAPTER_EVICTION_MILLIS) + affinity;
    }

    private double zoneMillis(Target target) {
        return target.record().zone().equals(zone) ? 0 : OTHER_ZONE_MILLIS;
    }

    private Optional<Target> cheapest(List<Target> targets, ToDoubleFunction<Target> costMillis) {
        record Costed(Target target, double costMillis) {}
        // A millisecond of noise parts what costs the same.
        return targets.stream()
                .map(target -> new Costed(target, costMillis.applyAsDouble(target) + random.nextDouble()))
                .min(Comparator.comparingDouble(Costed::costMillis))
                .map(Costed::target);
    }

    private static long readyMillis(Collection<Target> targets, Engine engine, String model, long nowMillis) {
        OptionalLong underWay = loadUnderWay(targets, model, nowMillis);
        if (underWay.isPresent()) {
            return underWay.getAsLong();
        }
        boolean near = targets.stream()
                .map(target -> target.freshNews(nowMillis))
                .flatMap(Optional::stream)
                .anyMatch(news -> news.getNearModels().contains(model));
        return engine.model(model)
                        .map(offered -> near ? offered.diskLoadMillis() : offered.storeLoadMillis())
                        .orElse(0L)
                + LEAST_LOAD_MILLIS;
    }

    /** How long until the first of the replicas that load a model has it. */
    private static OptionalLong loadUnderWay(Collection<Target> targets, String model, long nowMillis) {
        return targets.stream()
                .filter(target -> target.freshNews(nowMillis)
                        .filter(news -> model.equals(news.getLoadingModel()))
                        .isPresent())
                .mapToLong(target -> target.loadingMillis(nowMillis))
                .min();
    }

    /** Engines that run all they can have a place free each time a stream ends. */
    private static Choice.Full full(
            List<Target> holding, Engine engine, EngineNeed need, OptionalLong copyMillis, long nowMillis) {
        int least = holding.stream()
                .mapToInt(target -> target.expectedLoad(nowMillis))
                .min()
                .orElse(0);
        double placeMillis = need.durationMillis() / (engine.slots() * holding.size());
        double ahead = Math.max(1, least - engine.slots() + 1);
        long roomMillis = Math.round(ahead * placeMillis) + FULL_RETRY_MILLIS;
        long limitedMillis = limitedMillis(holding, nowMillis);
        return new Choice.Full(Math.max(roomMillis, limitedMillis), Math.max(placeMillis, limitedMillis), copyMillis);
    }

    /** A number from 0 up to 1 that a pair always gets. */
    private static double uniform(String first, String second) {
        int mixed = (first + '/' + second).hashCode() * 0x9E3779B1;
        return (mixed >>> 8) / (double) (1 << 24);
    }
}
