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
 * <p>A model without any copy that callers ask for goes first, then copies of busy models, then models without a copy
 * that nobody asks for, into free room only. The last copy of a model goes only for one that is asked for more.
 */
public final class CopyPlan {

    /** The part of an engine's places that one model's load should take at the most, so that a burst finds room. */
    private static final double PLACES_SHARE = 0.5;

    /** Requests a second from which a second copy is worth its room, as an engine may fail at any time. */
    private static final double SECOND_COPY_PER_SECOND = 2.0;

    /** How much more a model must be asked for than the one whose last copy makes way for it. */
    private static final double LAST_COPY_FACTOR = 2.0;

    private static final double LAST_COPY_COST = 1_000.0;
    private static final double COPY_COST = 50.0;
    private static final double BUSY_COST = 30.0;
    private static final double MILLIS_PER_COST = 100.0;

    private final Engine engine;
    private final List<EngineView> engines;
    private final Map<String, Demand> demand;
    private final Map<String, Integer> copies = new HashMap<>();

    /**
     * A plan over one view.
     *
     * @param engine what each engine is.
     * @param engines the engines of the service that are there, leaving ones left out.
     * @param demand what callers ask of each model.
     */
    public CopyPlan(Engine engine, List<EngineView> engines, Map<String, Demand> demand) {
        this.engine = engine;
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
        for (Engine.Model model : missing()) {
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

    /** Copies that a model should have. */
    int wanted(String model) {
        Demand asked = demandFor(model);
        int forLoad = (int) Math.ceil(asked.atOnce() / (engine.slots() * PLACES_SHARE));
        int forFailure = asked.perSecond() >= SECOND_COPY_PER_SECOND ? 2 : 1;
        return Math.min(engines.size(), Math.max(forLoad, forFailure));
    }

    private List<Engine.Model> missing() {
        return engine.models().stream()
                .filter(model -> copiesOf(model.name()) < wanted(model.name()))
                .sorted(Comparator.comparingInt((Engine.Model model) -> urgency(model.name()))
                        .thenComparingDouble(model -> -demandFor(model.name()).perSecond())
                        .thenComparing(Engine.Model::name))
                .toList();
    }

    private int urgency(String model) {
        boolean absent = copiesOf(model) == 0;
        if (absent && demandFor(model).isAsked()) {
            return 0;
        }
        return absent ? 2 : 1;
    }

    private Optional<Candidate> candidate(EngineView view, Engine.Model model) {
        double loadMillis = view.near().contains(model.name()) ? model.diskLoadMillis() : model.storeLoadMillis();
        double base = loadMillis / MILLIS_PER_COST
                + BUSY_COST * view.load() / Math.max(1, engine.slots())
                + spread(view.address(), model.name());
        double lacking = model.weightsMegabytes() - freeMegabytes(view);
        if (lacking <= 0) {
            return Optional.of(new Candidate(view, List.of(), base));
        }
        return makeWay(view, model, lacking)
                .map(way -> new Candidate(
                        view,
                        way,
                        base + way.stream().mapToDouble(each -> lossOf(each)).sum()));
    }

    private Optional<List<String>> makeWay(EngineView view, Engine.Model model, double lackingMegabytes) {
        List<String> way = new ArrayList<>();
        double lacking = lackingMegabytes;
        List<String> byLoss = view.held().stream()
                .filter(held -> mayGoFor(held, model.name()))
                .sorted(Comparator.comparingDouble(this::lossOf).thenComparing(held -> held))
                .toList();
        for (String held : byLoss) {
            if (lacking <= 0) {
                break;
            }
            way.add(held);
            lacking -= weights(held);
        }
        return lacking <= 0 && !way.isEmpty() ? Optional.of(way) : Optional.empty();
    }

    private boolean mayGoFor(String held, String wanted) {
        int left = copiesOf(held) - 1;
        Demand asked = demandFor(wanted);
        boolean absent = copiesOf(wanted) == 0;
        if (left >= wanted(held)) {
            return asked.isAsked();
        }
        if (left >= 1) {
            // A copy of a busy model makes way only for one that callers can't reach at all.
            return absent && asked.isAsked();
        }
        return absent
                && asked.isAsked()
                && asked.perSecond() > LAST_COPY_FACTOR * demandFor(held).perSecond();
    }

    private double lossOf(String held) {
        int left = copiesOf(held) - 1;
        double asked = demandFor(held).perSecond();
        if (left >= wanted(held)) {
            return asked;
        }
        return left >= 1 ? COPY_COST + asked * COPY_COST : LAST_COPY_COST * asked;
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
     * @param loading the model that it loads.
     * @param near models whose weights lie in its host's memory or on its disk.
     * @param load requests in it.
     */
    public record EngineView(
            HostPort address, Set<String> held, Optional<String> loading, Set<String> near, int load) {}

    /**
     * What callers ask of a model, over all entries.
     *
     * @param perSecond requests a second, smoothed.
     * @param atOnce requests under way.
     * @param turnedAway requests that found no copy lately.
     */
    public record Demand(double perSecond, double atOnce, int turnedAway) {

        /** Nothing. */
        public static final Demand NONE = new Demand(0, 0, 0);

        private static final double ASKED_PER_SECOND = 0.02;

        /**
         * Adds another entry's demand.
         *
         * @param other the other.
         * @return both together.
         */
        public Demand plus(Demand other) {
            return new Demand(perSecond + other.perSecond, atOnce + other.atOnce, turnedAway + other.turnedAway);
        }

        boolean isAsked() {
            return turnedAway > 0 || atOnce > 0 || perSecond > ASKED_PER_SECOND;
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
