package io.waxwingquay.residency;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.manifest.Engine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

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

    /** The part of its places up to which an engine serves all in time, and the share served late when all are taken. */
    private static final double EASY_SHARE = 0.3;

    private static final double LATE_SHARE_WHEN_FULL = 0.3;

    /** What a second copy is worth besides: engines fail now and then, and seconds are lost then; and a further one. */
    private static final double SECOND_SHARE = 0.02;

    private static final double FURTHER_SHARE = 0.003;

    /** How much more a copy must gain than what makes way for it is worth; less would swap models to and fro. */
    private static final double GAIN_FACTOR = 2.0;

    /** The last copy of a model that nobody asked for lately is still worth this: someone asks every few seconds. */
    private static final double UNASKED_WORTH = 0.12;

    private static final double LEAST_GAIN = 0.01;

    private static final double BUSY_COST = 30.0;
    private static final double LOSS_COST = 20.0;
    /** A model in use is waited for, seconds at the worst. */
    private static final double WAIT_COST = 15.0;

    private static final double MILLIS_PER_COST = 100.0;

    private final Engine engine;
    private final WeightLoadPace.Ceiling pace;
    private final int storeLoads;
    private final List<EngineView> engines;
    private final Map<String, Demand> demand;
    private final Map<String, Integer> copies = new HashMap<>();

    /**
     * A plan over one view.
     *
     * @param engine what each engine is.
     * @param engines the engines of the service that are there, leaving ones left out.
     * @param demand what callers ask of each model.
     * @param pace how many loads from the weight store may begin.
     */
    public CopyPlan(Engine engine, List<EngineView> engines, Map<String, Demand> demand, WeightLoadPace.Ceiling pace) {
        this.engine = engine;
        this.pace = pace;
        this.storeLoads = engines.stream().mapToInt(EngineView::storeLoads).sum();
        this.engines = engines.stream()
                .sorted(Comparator.comparing(view -> view.address().toString()))
                .toList();
        this.demand = demand;
        this.engines.forEach(view -> {
            Set<String> all = new HashSet<>(view.held());
            view.loading().ifPresent(all::add);
            all.forEach(model -> copies.merge(model, 1, Integer::sum));
        });
    }

    /**
     * What one engine is to do next.
     *
     * @param own the engine's address.
     * @return the step, empty if there is nothing for it to do.
     */
    public Optional<Step> stepFor(HostPort own) {
        Set<HostPort> taken = new HashSet<>();
        for (Engine.Model model : byGain()) {
            Optional<Candidate> best = engines.stream()
                    .filter(view -> view.loading().isEmpty())
                    .filter(view -> !taken.contains(view.address()))
                    .filter(view -> !view.held().contains(model.name()))
                    .map(view -> candidate(view, model))
                    .flatMap(Optional::stream)
                    .min(Comparator.comparingDouble(Candidate::cost));
            if (best.isPresent() && best.get().view.address().equals(own)) {
                return Optional.of(new Step(model.name(), best.get().makesWay));
            }
            best.ifPresent(other -> taken.add(other.view.address()));
        }
        return Optional.empty();
    }

    /** Requests a second that one more copy would serve in time. */
    double gain(String model) {
        return worthOfCopy(model, copiesOf(model) + 1);
    }

    private double loss(String model) {
        return worthOfCopy(model, copiesOf(model));
    }

    private double worthOfCopy(String model, int number) {
        Demand asked = demandFor(model);
        if (number == 1) {
            return Math.max(Math.max(asked.perSecond(), asked.slowPerSecond()), UNASKED_WORTH);
        }
        double relieved = lateShare(asked.atOnce() / (number - 1)) - lateShare(asked.atOnce() / number);
        return asked.perSecond() * (relieved + (number == 2 ? SECOND_SHARE : FURTHER_SHARE));
    }

    /** The share of requests that an engine does not serve in time, by how many it would have to run at once. */
    private double lateShare(double atOnce) {
        double taken = atOnce / engine.slots();
        if (taken <= EASY_SHARE) {
            return 0;
        }
        if (taken > 1) {
            return 1 - (1 - LATE_SHARE_WHEN_FULL) / taken;
        }
        double over = (taken - EASY_SHARE) / (1 - EASY_SHARE);
        return LATE_SHARE_WHEN_FULL * over * over;
    }

    private List<Engine.Model> byGain() {
        return engine.models().stream()
                .filter(model -> copiesOf(model.name()) < engines.size())
                .filter(model -> gain(model.name()) >= LEAST_GAIN)
                .sorted(Comparator.comparingDouble((Engine.Model model) -> -gain(model.name()))
                        .thenComparing(Engine.Model::name))
                .toList();
    }

    private Optional<Candidate> candidate(EngineView view, Engine.Model model) {
        boolean isNear = view.near().contains(model.name());
        if (!isNear && !pace.allows(view.storeLoads(), storeLoads, gain(model.name()))) {
            return Optional.empty();
        }
        double loadMillis = isNear ? model.diskLoadMillis() : model.storeLoadMillis();
        double cost = loadMillis / MILLIS_PER_COST
                + BUSY_COST * view.load() / Math.max(1, engine.slots())
                + spread(view.address(), model.name());
        double lacking = model.weightsMegabytes() - freeMegabytes(view);
        if (lacking <= 0) {
            return Optional.of(new Candidate(view, List.of(), cost));
        }
        if (demandFor(model.name()).perSecond() < LEAST_GAIN) {
            // What nobody asks for takes free room only: at a start no demand is known, and what stands stands well.
            return Optional.empty();
        }
        return makeWay(view, model, lacking)
                .map(way -> new Candidate(view, way, cost + LOSS_COST * losses(way) + waitCost(view, way)));
    }

    private Optional<List<String>> makeWay(EngineView view, Engine.Model model, double lackingMegabytes) {
        List<String> way = new ArrayList<>();
        double lacking = lackingMegabytes;
        List<String> byLoss = view.held().stream()
                .sorted(Comparator.comparingDouble(this::loss).thenComparing(held -> held))
                .toList();
        for (String held : byLoss) {
            if (lacking <= 0) {
                break;
            }
            way.add(held);
            lacking -= weights(held);
        }
        boolean worthIt = gain(model.name()) > GAIN_FACTOR * losses(way);
        return lacking <= 0 && worthIt ? Optional.of(way) : Optional.empty();
    }

    private static double waitCost(EngineView view, List<String> way) {
        return way.stream().anyMatch(view.inUse()::contains) ? WAIT_COST : 0;
    }

    private double losses(List<String> models) {
        return models.stream().mapToDouble(this::loss).sum();
    }

    private double freeMegabytes(EngineView view) {
        double adapters = engine.models().stream()
                        .mapToDouble(Engine.Model::adapterMegabytes)
                        .max()
                        .orElse(0.0)
                * engine.adapterSlots();
        double held = view.held().stream().mapToDouble(this::weights).sum();
        return engine.weightsMegabytes() - adapters - held;
    }

    private double weights(String model) {
        return engine.model(model).map(Engine.Model::weightsMegabytes).orElse(engine.weightsMegabytes());
    }

    private int copiesOf(String model) {
        return copies.getOrDefault(model, 0);
    }

    private Demand demandFor(String model) {
        return demand.getOrDefault(model, Demand.NONE);
    }

    /** Parts engines that cost the same, the same way in every process. */
    private static double spread(HostPort address, String model) {
        int mixed = (address + "/" + model).hashCode() * 0x9E3779B1;
        return (mixed >>> 8) / (double) (1 << 24);
    }

    private record Candidate(EngineView view, List<String> makesWay, double cost) {}

    /**
     * An engine as the plan sees it.
     *
     * @param address the engine.
     * @param held models that it holds.
     * @param loading the model that it loads, or makes way for.
     * @param near models whose weights lie in its host's memory or on its disk.
     * @param inUse models that requests in it use; they would have to be waited for.
     * @param storeLoads loads from the weight store that began there within the window of their ceiling.
     * @param load requests in it.
     */
    public record EngineView(
            HostPort address,
            Set<String> held,
            Optional<String> loading,
            Set<String> near,
            Set<String> inUse,
            int storeLoads,
            int load) {

        EngineView withoutLoading() {
            return new EngineView(address, held, Optional.empty(), near, inUse, storeLoads, load);
        }
    }

    /**
     * What callers ask of a model, over all entries.
     *
     * @param perSecond requests a second, over the last seconds.
     * @param slowPerSecond requests a second, over a longer time: what is asked for seldom is still asked for.
     * @param atOnce requests that are, or would be, under way at the same time.
     */
    public record Demand(double perSecond, double slowPerSecond, double atOnce) {

        /** Nothing. */
        public static final Demand NONE = new Demand(0, 0, 0);

        /**
         * Adds another entry's demand.
         *
         * @param other the other.
         * @return both together.
         */
        public Demand plus(Demand other) {
            return new Demand(perSecond + other.perSecond, slowPerSecond + other.slowPerSecond, atOnce + other.atOnce);
        }
    }

    /**
     * A step of one engine.
     *
     * @param model the model to load.
     * @param makesWay models that are to go first; empty if there is room.
     */
    public record Step(String model, List<String> makesWay) {}
}
