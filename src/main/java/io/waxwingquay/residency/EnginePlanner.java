package io.waxwingquay.residency;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.manifest.Engine;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** Combines the updates received about all engines and asks the plan for the next step of its own engine. */
final class EnginePlanner {

    /**
     * Until updates from the other sides have arrived, their models would seem to have no copy. The planner waits for
     * updates about all listed engines, but no longer than this, as some of them may be gone.
     */
    private static final long PEER_UPDATES_TIMEOUT_MILLIS = 1_500L;

    /**
     * An empty engine waits this long for the first requests. A few tenths of a second of requests show which models
     * are busy; without them the engine would first load models without demand.
     */
    private static final long DEMAND_TIMEOUT_MILLIS = 3_000L;

    /** The share of engines that may load a model immediately even if all processes may have restarted. */
    private static final double EXEMPT_SHARE = 0.3;

    private final HostPort address;
    private final PeerUpdates peers;
    private final OrderTracker orders;
    private final WeightLoadLimiter loadLimiter;
    private PreviousModels previousModels = PreviousModels.none();
    private long startMillis;

    EnginePlanner(HostPort address, PeerUpdates peers, OrderTracker orders, WeightLoadLimiter loadLimiter) {
        this.address = address;
        this.peers = peers;
        this.orders = orders;
        this.loadLimiter = loadLimiter;
    }

    void start(long nowMillis) {
        startMillis = nowMillis;
    }

    void setPreviousModels(PreviousModels models) {
        previousModels = models;
    }

    ModelMover.Planner plannerFor(Engine engine, EngineReport report, long nowMillis) {
        return new Snapshot(engine, report, nowMillis);
    }

    /** Plans from the state known at one moment. */
    private final class Snapshot implements ModelMover.Planner {

        private final Engine engine;
        private final EngineReport report;
        private final long nowMillis;

        private Snapshot(Engine engine, EngineReport report, long nowMillis) {
            this.engine = engine;
            this.report = report;
            this.nowMillis = nowMillis;
        }

        /** {@inheritDoc} */
        @Override
        public Optional<CopyPlan.Step> nextStep(Optional<String> announced) {
            if (isWarmingUp()) {
                return restoreStep();
            }
            Set<String> cachedOnHost = new HashSet<>(report.onDisk());
            cachedOnHost.addAll(report.inHostMemory());
            List<CopyPlan.EngineView> views = new ArrayList<>(peers.otherEngines(address, announced, nowMillis));
            views.add(new CopyPlan.EngineView(
                    address,
                    Set.copyOf(report.modelNames()),
                    Set.copyOf(orders.unresolvedLoads()),
                    Optional.empty(),
                    cachedOnHost,
                    peers.modelsInUse(nowMillis),
                    loadLimiter.recentLoads(nowMillis),
                    report.running() + report.waiting()));
            return new CopyPlan(engine, views, peers.demand(nowMillis), storeLoadLimit()).stepFor(address);
        }

        /**
         * Returns a step for the next model of the engine's previous incarnation that is cached on the host and fits.
         */
        private Optional<CopyPlan.Step> restoreStep() {
            List<String> unresolvedLoads = orders.unresolvedLoads();
            double occupiedMegabytes = Stream.concat(report.modelNames().stream(), unresolvedLoads.stream())
                    .distinct()
                    .mapToDouble(engine::modelWeightsMegabytes)
                    .sum();
            boolean hasNoDemand = peers.demand(nowMillis).isEmpty();
            return previousModels.models().stream()
                    .filter(model ->
                            hasNoDemand && report.model(model).isEmpty() && ModelMover.isCachedOnHost(report, model))
                    .filter(model -> engine.model(model).isPresent())
                    .filter(model -> unresolvedLoads.contains(model)
                            || occupiedMegabytes + engine.modelWeightsMegabytes(model) <= engine.modelMemoryMegabytes())
                    .findFirst()
                    .map(model -> new CopyPlan.Step(model, List.of()));
        }

        private boolean isWarmingUp() {
            long elapsedMillis = nowMillis - startMillis;
            boolean hasPeerUpdates =
                    peers.hasUpdatesFromAll(address, nowMillis) || elapsedMillis >= PEER_UPDATES_TIMEOUT_MILLIS;
            boolean lacksDemand = report.models().isEmpty()
                    && elapsedMillis < DEMAND_TIMEOUT_MILLIS
                    && peers.demand(nowMillis).isEmpty();
            return !hasPeerUpdates
                    || lacksDemand
                    || peers.entryAddresses(nowMillis).isEmpty();
        }

        /**
         * Drops the assumed load if this engine is exempt.
         *
         * <p>Failure: all processes have restarted, and none loads anything for one window, in order to stay below
         * the limit. Symptom: a change of demand before the restart is not followed. A few engines, the same in every
         * process, need not wait: the rest of the limit covers the loads that were started before.
         */
        private void dropAssumedLoadIfExempt(Set<HostPort> engines) {
            long lowerRanked = engines.stream()
                    .filter(other -> other.hashCode() < address.hashCode())
                    .count();
            if (!engines.isEmpty() && lowerRanked < EXEMPT_SHARE * engines.size()) {
                loadLimiter.dropAssumedLoad();
            }
        }

        /** {@inheritDoc} */
        @Override
        public boolean tryStartStoreLoad() {
            int totalLoads = loadLimiter.recentLoads(nowMillis) + peers.otherStoreLoads(address, nowMillis);
            boolean allowed = storeLoadLimit().allows(loadLimiter.recentLoads(nowMillis), totalLoads, Double.MAX_VALUE);
            if (allowed) {
                loadLimiter.recordLoad(nowMillis);
            }
            return allowed;
        }

        private WeightLoadLimiter.Limit storeLoadLimit() {
            dropAssumedLoadIfExempt(peers.listedEngines(nowMillis));
            int engines = Math.max(1, peers.listedEngines(nowMillis).size());
            return loadLimiter.limit(engine.storeLoadsPerSecond(), engines);
        }
    }
}
