package io.waxwingquay.residency;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.manifest.Engine;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Puts together what this process knows of all engines, and asks the plan what its own engine is to do. */
final class EnginePlanner {

    /**
     * Before this process has heard the others, it would take their models for missing. It waits for all that are
     * listed, but for no longer than this, as some of them may be gone.
     */
    private static final long HEAR_MILLIS = 1_500L;

    /**
     * An empty engine waits this long for the first requests. Those of a few tenths of a second show what is busy; without
     * them it would load what nobody asks for first.
     */
    private static final long DEMAND_MILLIS = 3_000L;

    /** The part of the engines that may bring in a model at once though all processes may have started again. */
    private static final double SPARED_SHARE = 0.3;

    private final HostPort address;
    private final Neighbours neighbours;
    private final OrderBook orders;
    private final WeightLoadLimiter pace;
    private PreviousModels earlier = PreviousModels.none();
    private long beganMillis;

    EnginePlanner(HostPort address, Neighbours neighbours, OrderBook orders, WeightLoadLimiter pace) {
        this.address = address;
        this.neighbours = neighbours;
        this.orders = orders;
        this.pace = pace;
    }

    void begin(long nowMillis) {
        beganMillis = nowMillis;
    }

    void earlier(PreviousModels models) {
        earlier = models;
    }

    ModelMover.Planner at(Engine engine, EngineReport now, long nowMillis) {
        return new Moment(engine, now, nowMillis);
    }

    /** The plan over what this process knows at one moment. */
    private final class Moment implements ModelMover.Planner {

        private final Engine engine;
        private final EngineReport now;
        private final long nowMillis;

        private Moment(Engine engine, EngineReport now, long nowMillis) {
            this.engine = engine;
            this.now = now;
            this.nowMillis = nowMillis;
        }

        /** {@inheritDoc} */
        @Override
        public Optional<CopyPlan.Step> step(Optional<String> announced) {
            if (isEarly()) {
                return restoring();
            }
            Set<String> held = new HashSet<>(now.modelNames());
            held.addAll(orders.doubtfulLoads());
            Set<String> near = new HashSet<>(now.onDisk());
            near.addAll(now.inHostMemory());
            List<CopyPlan.EngineView> views = new ArrayList<>(neighbours.others(address, announced, nowMillis));
            views.add(new CopyPlan.EngineView(
                    address,
                    held,
                    Optional.empty(),
                    near,
                    neighbours.modelsInUse(nowMillis),
                    pace.recentLoads(nowMillis),
                    now.running() + now.waiting()));
            return new CopyPlan(engine, views, neighbours.demand(nowMillis), ceiling()).stepFor(address);
        }

        /** The next model of the engine's earlier life that lies at hand and has room. */
        private Optional<CopyPlan.Step> restoring() {
            double heldMegabytes =
                    now.models().stream().mapToDouble(this::weights).sum();
            boolean isUnasked = neighbours.demand(nowMillis).isEmpty();
            return earlier.models().stream()
                    .filter(model -> isUnasked && now.model(model).isEmpty() && ModelMover.isNear(now, model))
                    .filter(model -> engine.model(model).isPresent())
                    .filter(model ->
                            heldMegabytes + engine.modelWeightsMegabytes(model) <= engine.modelMemoryMegabytes())
                    .findFirst()
                    .map(model -> new CopyPlan.Step(model, List.of()));
        }

        private double weights(ReplicaRecord.ResidentModel model) {
            return engine.modelWeightsMegabytes(model.name());
        }

        private boolean isEarly() {
            long sinceMillis = nowMillis - beganMillis;
            boolean heard = neighbours.hasHeardAll(address, nowMillis) || sinceMillis >= HEAR_MILLIS;
            boolean blind = now.models().isEmpty()
                    && sinceMillis < DEMAND_MILLIS
                    && neighbours.demand(nowMillis).isEmpty();
            return !heard || blind || neighbours.entryAddresses(nowMillis).isEmpty();
        }

        /**
         * Failure: all processes have started again, and none brings anything in for a window, so as not to go over the
         * ceiling. Symptom: demand that moved before they ended is not followed. A few engines, the same in every process,
         * need not wait: the rest of the ceiling is left to what was begun before.
         */
        private void forgetAssumedLoadIfSpared(Set<HostPort> engines) {
            long before = engines.stream()
                    .filter(other -> other.hashCode() < address.hashCode())
                    .count();
            if (!engines.isEmpty() && before < SPARED_SHARE * engines.size()) {
                pace.forgetAssumed();
            }
        }

        /** {@inheritDoc} */
        @Override
        public boolean mayLoadFromStore() {
            int everywhere = pace.recentLoads(nowMillis) + neighbours.othersStoreLoads(address, nowMillis);
            boolean allowed = ceiling().allows(pace.recentLoads(nowMillis), everywhere, Double.MAX_VALUE);
            if (allowed) {
                pace.recordLoad(nowMillis);
            }
            return allowed;
        }

        private WeightLoadLimiter.Ceiling ceiling() {
            forgetAssumedLoadIfSpared(neighbours.listedEngines(nowMillis));
            int engines = Math.max(1, neighbours.listedEngines(nowMillis).size());
            return pace.ceiling(engine.storeLoadsPerSecond(), engines);
        }
    }
}
