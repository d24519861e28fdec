package io.waxwingquay.residency;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.LatenessCurve;
import io.waxwingquay.manifest.Engine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Plans which model each engine loads next and which models are evicted for it. The plan is a pure function of its
 * input: processes with the same view compute the same plan, so each carries out only its own engine's part and no
 * leader is needed. Differing views may cost a superfluous load but never memory, as each process limits that of its
 * own engine.
 *
 * <p>The value of a copy is the number of requests a second that would not be served in time without it. A copy is
 * loaded where it gains clearly more than the value of the copies evicted for it. So the last copy of a model is
 * evicted only for a model with far higher demand, and models without demand are evicted first.
 */
public final class CopyPlan {

    /**
     * Additional value of a second and of a further copy, as a share of demand: engines fail occasionally, and without
     * another copy requests fail for seconds.
     */
    private static final double SECOND_COPY_SHARE = 0.02;

    private static final double FURTHER_COPY_SHARE = 0.003;

    /**
     * The minimum ratio of the gain of a copy to the value of the evicted copies; a lower ratio would swap models back
     * and forth.
     */
    private static final double MIN_GAIN_FACTOR = 2.0;

    /** The value of the last copy of a model without recent demand. */
    private static final double IDLE_LAST_COPY_PER_SECOND = 0.12;

    /**
     * The same for each second that the model takes to load, of which the greater applies: demand moves to idle models
     * without warning.
     */
    private static final double IDLE_LAST_COPY_PER_SECOND_OF_LOAD = 0.1;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /**
     * The limit on the value that a last copy derives from long-term demand, which is that of a model with low but
     * steady demand. A model that was busy and became idle is worth no more than such a model.
     */
    private static final double MAX_LONG_TERM_VALUE_PER_SECOND = 0.5;

    private static final double MIN_GAIN_PER_SECOND = 0.01;

    /** The minimum gain of a further new copy of a model while another one is being loaded; smaller gains can wait. */
    private static final double MIN_FURTHER_GAIN_PER_SECOND = 0.5;

    private static final double UTILISATION_COST = 30.0;
    private static final double LOST_VALUE_COST = 20.0;

    /**
     * Evicting a model in use means waiting for its requests, up to three seconds and more; converted with
     * {@link #MILLIS_PER_COST}. Meanwhile the model to be loaded has no copy, or too few.
     */
    private static final double IN_USE_COST = 40.0;

    private static final double MILLIS_PER_COST = 100.0;

    private final Engine engine;
    private final WeightLoadLimiter.Limit storeLoadLimit;
    private final int recentStoreLoads;
    private final List<EngineView> engines;
    private final Map<String, Demand> demand;
    private final Map<HostPort, Double> freeMegabytes = new HashMap<>();

    /**
     * The models of each engine, the cheapest to evict first. Computed once and shared between candidates; cleared when
     * a step is assigned.
     */
    private final Map<HostPort, List<String>> evictionOrders = new HashMap<>();

    private final Map<String, Integer> copyCounts = new HashMap<>();
    private final Map<HostPort, Step> steps = new HashMap<>();

    /**
     * Creates a plan from one view of the engines.
     *
     * @param engine the specification of each engine.
     * @param engines the engines of the service, without draining ones.
     * @param demand the demand for each model.
     * @param storeLoadLimit the limit on loads from the weight store.
     */
    public CopyPlan(
            Engine engine,
            List<EngineView> engines,
            Map<String, Demand> demand,
            WeightLoadLimiter.Limit storeLoadLimit) {
        this.engine = engine;
        this.storeLoadLimit = storeLoadLimit;
        this.recentStoreLoads =
                engines.stream().mapToInt(EngineView::recentStoreLoads).sum();
        this.engines = engines.stream()
                .sorted(Comparator.comparing(view -> view.address().toString()))
                .toList();
        this.demand = demand;
        this.engines.forEach(view -> {
            double occupiedMegabytes = Stream.concat(view.held().stream(), view.reservedFor().stream())
                    .distinct()
                    .mapToDouble(engine::modelWeightsMegabytes)
                    .sum();
            freeMegabytes.put(view.address(), engine.modelMemoryMegabytes() - occupiedMegabytes);
            Set<String> all = new HashSet<>(view.held());
            view.loading().ifPresent(all::add);
            all.forEach(model -> copyCounts.merge(model, 1, Integer::sum));
        });
        plan();
    }

    /**
     * Returns the next step of an engine.
     *
     * @param engineAddress the engine's address.
     * @return the step, empty if the engine has nothing to load.
     */
    public Optional<Step> stepFor(HostPort engineAddress) {
        return Optional.ofNullable(steps.get(engineAddress));
    }

    /**
     * Assigns steps to engines greedily, the greatest gain first; each step counts as carried out when the next is
     * computed.
     */
    private void plan() {
        PriorityQueue<Gain> gains = rankedGains();
        while (!gains.isEmpty()) {
            Engine.Model model = gains.poll().model;
            bestEngine(model).ifPresent(best -> {
                assign(model, best);
                // A second new copy of a busy model may be worth more than the first of other models.
                Gain next = new Gain(model, gainPerSecond(model.name()));
                if (next.perSecond >= MIN_FURTHER_GAIN_PER_SECOND) {
                    gains.add(next);
                }
            });
        }
    }

    private Optional<Candidate> bestEngine(Engine.Model model) {
        return engines.stream()
                .filter(view -> view.loading().isEmpty())
                .filter(view -> !steps.containsKey(view.address()))
                .filter(view -> !view.held().contains(model.name()))
                .map(view -> candidate(view, model))
                .flatMap(Optional::stream)
                .min(Comparator.comparingDouble(Candidate::cost));
    }

    private void assign(Engine.Model model, Candidate candidate) {
        steps.put(candidate.view.address(), new Step(model.name(), candidate.evictions));
        evictionOrders.clear();
        copyCounts.merge(model.name(), 1, Integer::sum);
        candidate.evictions.forEach(evicted -> copyCounts.merge(evicted, -1, Integer::sum));
    }

    /** Returns the requests a second that one more copy would serve in time. */
    double gainPerSecond(String model) {
        return copyCount(model) < engines.size() ? copyValuePerSecond(model, copyCount(model) + 1) : 0;
    }

    private double lossPerSecond(String model) {
        return copyValuePerSecond(model, copyCount(model));
    }

    private double copyValuePerSecond(String model, int copyNumber) {
        Demand modelDemand = demandFor(model);
        if (copyNumber == 1) {
            double longTermPerSecond = Math.min(modelDemand.longTermPerSecond(), MAX_LONG_TERM_VALUE_PER_SECOND);
            return Math.max(Math.max(modelDemand.perSecond(), longTermPerSecond), idleLastCopyPerSecond(model));
        }
        double lateShareReduction = lateShare(modelDemand.concurrentRequests() / (copyNumber - 1))
                - lateShare(modelDemand.concurrentRequests() / copyNumber);
        return modelDemand.perSecond()
                * (lateShareReduction + (copyNumber == 2 ? SECOND_COPY_SHARE : FURTHER_COPY_SHARE));
    }

    private double idleLastCopyPerSecond(String model) {
        double loadSeconds = engine.model(model)
                .map(known -> known.storeLoadMillis() / MILLIS_PER_SECOND)
                .orElse(0.0);
        return Math.max(IDLE_LAST_COPY_PER_SECOND, IDLE_LAST_COPY_PER_SECOND_OF_LOAD * loadSeconds);
    }

    /** Estimates the share of requests that an engine serves late when it receives this many concurrent requests. */
    private double lateShare(double concurrentRequests) {
        double utilisation = concurrentRequests / engine.slots();
        if (utilisation > 1) {
            return 1 - (1 - LatenessCurve.LATE_SHARE_WHEN_FULL) / utilisation;
        }
        return LatenessCurve.lateShare(utilisation);
    }

    private PriorityQueue<Gain> rankedGains() {
        return engine.models().stream()
                .map(model -> new Gain(model, gainPerSecond(model.name())))
                .filter(Gain::isSignificant)
                .collect(Collectors.toCollection(PriorityQueue::new));
    }

    private Optional<Candidate> candidate(EngineView view, Engine.Model model) {
        double requiredMegabytes = view.reservedFor().contains(model.name()) ? 0 : model.weightsMegabytes();
        double missingMegabytes = requiredMegabytes - freeMegabytes.get(view.address());
        if (missingMegabytes > 0 && demandFor(model.name()).perSecond() < MIN_GAIN_PER_SECOND) {
            // A model without demand only takes free memory: demand is unknown at startup, and existing copies should
            // stay then.
            return Optional.empty();
        }
        boolean isCachedOnHost = view.cachedOnHost().contains(model.name());
        if (!isCachedOnHost
                && !storeLoadLimit.allows(view.recentStoreLoads(), recentStoreLoads, gainPerSecond(model.name()))) {
            return Optional.empty();
        }
        double loadMillis = isCachedOnHost ? model.diskLoadMillis() : model.storeLoadMillis();
        double cost = loadMillis / MILLIS_PER_COST
                + UTILISATION_COST * view.requests() / Math.max(1, engine.slots())
                + tieBreaker(view.address(), model.name());
        if (missingMegabytes <= 0) {
            return Optional.of(new Candidate(view, List.of(), cost));
        }
        return findEvictions(view, model, missingMegabytes)
                .map(evictions -> new Candidate(view, evictions, cost + evictionCost(view, evictions)));
    }

    private Optional<List<String>> findEvictions(EngineView view, Engine.Model model, double requiredMegabytes) {
        List<String> evictions = new ArrayList<>();
        double missingMegabytes = requiredMegabytes;
        for (String held : evictionOrders.computeIfAbsent(view.address(), key -> rankByEvictionCost(view))) {
            if (missingMegabytes <= 0) {
                break;
            }
            evictions.add(held);
            missingMegabytes -= engine.modelWeightsMegabytes(held);
        }
        boolean isWorthIt = gainPerSecond(model.name()) > MIN_GAIN_FACTOR * totalLossPerSecond(evictions);
        return missingMegabytes <= 0 && isWorthIt ? Optional.of(evictions) : Optional.empty();
    }

    private List<String> rankByEvictionCost(EngineView view) {
        record RankedModel(String model, double cost, double longTermPerSecond) {}
        // Among idle models, which have equal cost, the one with the lowest long-term demand is evicted.
        return view.held().stream()
                .map(held -> new RankedModel(
                        held, evictionCost(view, List.of(held)), demandFor(held).longTermPerSecond()))
                .sorted(Comparator.comparingDouble(RankedModel::cost)
                        .thenComparingDouble(RankedModel::longTermPerSecond)
                        .thenComparingDouble(ranked -> tieBreaker(view.address(), ranked.model)))
                .map(RankedModel::model)
                .toList();
    }

    private double evictionCost(EngineView view, List<String> evictions) {
        boolean isInUse = evictions.stream().anyMatch(view.inUse()::contains);
        return LOST_VALUE_COST * totalLossPerSecond(evictions) + (isInUse ? IN_USE_COST : 0);
    }

    private double totalLossPerSecond(List<String> models) {
        return models.stream().mapToDouble(this::lossPerSecond).sum();
    }

    private int copyCount(String model) {
        return copyCounts.getOrDefault(model, 0);
    }

    private Demand demandFor(String model) {
        return demand.getOrDefault(model, Demand.NONE);
    }

    /** Breaks ties between engines of equal cost, in the same way in every process. */
    private static double tieBreaker(HostPort address, String model) {
        int hash = (address + "/" + model).hashCode() * 0x9E3779B1;
        return (hash >>> 8) / (double) (1 << 24);
    }

    private record Candidate(EngineView view, List<String> evictions, double cost) {}

    /** The gain of one more copy of a model, ordered with the greatest first and in the same way in every process. */
    private record Gain(Engine.Model model, double perSecond) implements Comparable<Gain> {

        private static final Comparator<Gain> ORDER =
                Comparator.comparingDouble((Gain gain) -> -gain.perSecond).thenComparing(gain -> gain.model.name());

        boolean isSignificant() {
            return perSecond >= MIN_GAIN_PER_SECOND;
        }

        /** {@inheritDoc} */
        @Override
        public int compareTo(Gain other) {
            return ORDER.compare(this, other);
        }
    }

    /**
     * An engine as seen by the plan.
     *
     * @param address the engine's address.
     * @param held models that it holds.
     * @param reservedFor models for which memory is kept free, as an order with an unknown outcome may still load them.
     *     They are no copies, and nothing can be evicted to free that memory.
     * @param loading the model that is loading, or for which others are being evicted.
     * @param cachedOnHost models whose weights are in its host's memory or on its disk.
     * @param inUse models in use by its requests; eviction would have to wait for those.
     * @param recentStoreLoads loads from the weight store that it started within the window of the limit.
     * @param requests requests that it runs or queues.
     */
    public record EngineView(
            HostPort address,
            Set<String> held,
            Set<String> reservedFor,
            Optional<String> loading,
            Set<String> cachedOnHost,
            Set<String> inUse,
            int recentStoreLoads,
            int requests) {

        /** Creates a view of an engine without orders whose outcome is unknown. */
        EngineView(
                HostPort address,
                Set<String> held,
                Optional<String> loading,
                Set<String> cachedOnHost,
                Set<String> inUse,
                int recentStoreLoads,
                int requests) {
            this(address, held, Set.of(), loading, cachedOnHost, inUse, recentStoreLoads, requests);
        }

        EngineView withoutLoading() {
            return new EngineView(
                    address, held, reservedFor, Optional.empty(), cachedOnHost, inUse, recentStoreLoads, requests);
        }
    }

    /**
     * The demand for a model across all entries.
     *
     * @param perSecond requests a second over the last seconds.
     * @param longTermPerSecond requests a second over a longer period, which still shows rarely used models.
     * @param concurrentRequests requests that are, or would be, in flight at the same time.
     */
    public record Demand(double perSecond, double longTermPerSecond, double concurrentRequests) {

        /** No demand. */
        public static final Demand NONE = new Demand(0, 0, 0);

        /**
         * Adds the demand of another entry.
         *
         * @param other the demand to add.
         * @return the sum.
         */
        public Demand plus(Demand other) {
            return new Demand(
                    perSecond + other.perSecond,
                    longTermPerSecond + other.longTermPerSecond,
                    concurrentRequests + other.concurrentRequests);
        }
    }

    /**
     * The next step of one engine.
     *
     * @param model the model to load.
     * @param evictions models to evict first; empty if there is free memory.
     */
    public record Step(String model, List<String> evictions) {}
}
