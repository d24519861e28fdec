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

/**
 * Decides what one engine is to load next, and what makes way for it. Pure: processes with the same view find the same
 * engine best for the same model, so each acts only on its own part and none has to lead. Different views cost a load
 * too many, never memory, as each process guards that of its own engine.
 *
 * <p>Each copy of a model has a worth in requests a second that would not be served in time without it. A copy is
 * loaded where that gains clearly more than what makes way for it is worth, so the last copy of a model goes only for
 * one that far more callers ask for, and what nobody asks for goes first.
 */
public final class CopyPlan {

    /** What a second copy is worth besides: engines fail now and then, and seconds are lost then; and a further one. */
    private static final double SECOND_COPY_SHARE = 0.02;

    private static final double FURTHER_COPY_SHARE = 0.003;

    /** How much more a copy must gain than what makes way for it is worth; less would swap models to and fro. */
    private static final double MIN_GAIN_FACTOR = 2.0;

    /** The last copy of a model that nobody asked for lately is still worth this. */
    private static final double IDLE_LAST_COPY_PER_SECOND = 0.12;

    /** And this for each second that it takes to load: demand moves to silent models without a sign. */
    private static final double IDLE_LAST_COPY_PER_SECOND_OF_LOAD = 0.1;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /**
     * What demand of long ago makes a last copy worth at the most: that of a model that is asked for seldom but
     * steadily. A model that was busy and fell silent is worth no more than those.
     */
    private static final double MAX_LONG_TERM_VALUE_PER_SECOND = 0.5;

    private static final double MIN_GAIN_PER_SECOND = 0.01;

    /** A model gets more than one new copy at the same time only if the further one gains this; others can wait. */
    private static final double MIN_FURTHER_GAIN_PER_SECOND = 0.5;

    private static final double UTILISATION_COST = 30.0;
    private static final double LOST_VALUE_COST = 20.0;

    /**
     * A model in use is waited for, up to three seconds and more, by {@link #MILLIS_PER_COST}. Meanwhile callers of the
     * model that comes find no copy, or too few.
     */
    private static final double IN_USE_COST = 40.0;

    private static final double MILLIS_PER_COST = 100.0;

    private final Engine engine;
    private final WeightLoadLimiter.Limit storeLoadLimit;
    private final int recentStoreLoads;
    private final List<EngineView> engines;
    private final Map<String, Demand> demand;
    private final Map<HostPort, Double> freeMegabytes = new HashMap<>();

    /** What each engine holds, what is least missed first; weighed for each model, and the same until a step is given. */
    private final Map<HostPort, List<String>> evictionOrders = new HashMap<>();

    private final Map<String, Integer> copyCounts = new HashMap<>();
    private final Map<HostPort, Step> steps = new HashMap<>();

    /**
     * A plan over one view.
     *
     * @param engine what each engine is.
     * @param engines the engines of the service that are there, leaving ones left out.
     * @param demand what callers ask of each model.
     * @param storeLoadLimit how many loads from the weight store may begin.
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
            double held = view.held().stream()
                    .mapToDouble(engine::modelWeightsMegabytes)
                    .sum();
            freeMegabytes.put(view.address(), engine.modelMemoryMegabytes() - held);
            Set<String> all = new HashSet<>(view.held());
            view.loading().ifPresent(all::add);
            all.forEach(model -> copyCounts.merge(model, 1, Integer::sum));
        });
        plan();
    }

    /**
     * What one engine is to do next.
     *
     * @param engineAddress the engine's address.
     * @return the step, empty if there is nothing for it to do.
     */
    public Optional<Step> stepFor(HostPort engineAddress) {
        return Optional.ofNullable(steps.get(engineAddress));
    }

    /** Gives engines their next steps, the greatest gain first, as if each were carried out before the next is weighed. */
    private void plan() {
        PriorityQueue<Gain> gains = rankedGains();
        while (!gains.isEmpty()) {
            Engine.Model model = gains.poll().model;
            bestEngine(model).ifPresent(best -> {
                assign(model, best);
                // A busy model may be worth a second new copy more than others are worth their first.
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

    /** Requests a second that one more copy would serve in time. */
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

    /** The share of requests that an engine does not serve in time, by how many it would have to run at once. */
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
        double missingMegabytes = model.weightsMegabytes() - freeMegabytes.get(view.address());
        if (missingMegabytes > 0 && demandFor(model.name()).perSecond() < MIN_GAIN_PER_SECOND) {
            // What nobody asks for takes free room only: at a start no demand is known, and what stands stands well.
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
        record Costed(String model, double cost, double rememberedPerSecond) {}
        // Of silent models, which cost the same, the one goes that was asked for least over a longer time.
        return view.held().stream()
                .map(held -> new Costed(
                        held, evictionCost(view, List.of(held)), demandFor(held).longTermPerSecond()))
                .sorted(Comparator.comparingDouble(Costed::cost)
                        .thenComparingDouble(Costed::rememberedPerSecond)
                        .thenComparingDouble(costed -> tieBreaker(view.address(), costed.model)))
                .map(Costed::model)
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

    /** Parts engines that cost the same, the same way in every process. */
    private static double tieBreaker(HostPort address, String model) {
        int hash = (address + "/" + model).hashCode() * 0x9E3779B1;
        return (hash >>> 8) / (double) (1 << 24);
    }

    private record Candidate(EngineView view, List<String> evictions, double cost) {}

    /** What one more copy of a model gains; the greatest comes first, in the same order in every process. */
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
     * An engine as the plan sees it.
     *
     * @param address the engine.
     * @param held models that it holds.
     * @param loading the model that it loads, or makes way for.
     * @param cachedOnHost models whose weights lie in its host's memory or on its disk.
     * @param inUse models that requests in it use; they would have to be waited for.
     * @param recentStoreLoads loads from the weight store that began there within the window of their ceiling.
     * @param requests requests in it.
     */
    public record EngineView(
            HostPort address,
            Set<String> held,
            Optional<String> loading,
            Set<String> cachedOnHost,
            Set<String> inUse,
            int recentStoreLoads,
            int requests) {

        EngineView withoutLoading() {
            return new EngineView(address, held, Optional.empty(), cachedOnHost, inUse, recentStoreLoads, requests);
        }
    }

    /**
     * What callers ask of a model, over all entries.
     *
     * @param perSecond requests a second, over the last seconds.
     * @param longTermPerSecond requests a second, over a longer time: what is asked for seldom is still asked for.
     * @param concurrentRequests requests that are, or would be, under way at the same time.
     */
    public record Demand(double perSecond, double longTermPerSecond, double concurrentRequests) {

        /** Nothing. */
        public static final Demand NONE = new Demand(0, 0, 0);

        /**
         * Adds another entry's demand.
         *
         * @param other the other.
         * @return both together.
         */
        public Demand plus(Demand other) {
            return new Demand(
                    perSecond + other.perSecond,
                    longTermPerSecond + other.longTermPerSecond,
                    concurrentRequests + other.concurrentRequests);
        }
    }

    /**
     * A step of one engine.
     *
     * @param model the model to load.
     * @param evictions models that are to go first; empty if there is room.
     */
    public record Step(String model, List<String> evictions) {}
}
