package io.waxwingquay.residency;

import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.manifest.Engine;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Moves one model at a time into an engine: announces it, asks the plan again, evicts other models, and orders the
 * load. Once an eviction has started, the model that it was for is always loaded.
 */
final class ModelMover {

    /**
     * Time for an announcement to reach the other processes before it is acted on.
     *
     * <p>Failure: demand for a model rises and every process finds at the same moment that a copy is missing.
     * Symptom: all engines evict models in order to load the same one. During this delay each process receives the
     * others' announcements.
     */
    private static final long ANNOUNCEMENT_MILLIS = 130L;

    /** Time for entries to learn that a model is being evicted, before its unload is ordered. */
    private static final long EVICTION_NOTICE_MILLIS = 130L;

    /**
     * How long an eviction waits for requests that still use the model; after that the engine itself waits for them.
     */
    private static final long EVICTION_WAIT_LIMIT_MILLIS = 3_000L;

    /** A load that the engine does not report after this time was lost. */
    private static final long LOAD_VISIBLE_TIMEOUT_MILLIS = 600L;

    /**
     * How long a plan without a step for this engine holds. A plan weighs all models against all engines, while the
     * engine's state is polled every few milliseconds as long as adapters load.
     */
    private static final long EMPTY_PLAN_VALID_MILLIS = 250L;

    /** The minimum remaining time reported for a load that should be complete. */
    private static final long MIN_REMAINING_MILLIS = 50L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.residency");

    private MoveState state = MoveState.CHART.initial();
    private String model = "";
    private List<String> evictions = List.of();
    private long phaseStartMillis;
    private boolean storeLoadCounted;
    private long nextPlanMillis = Long.MIN_VALUE;

    /** Returns the model that is being moved in. */
    Optional<String> loadingModel() {
        return state == MoveState.IDLE ? Optional.empty() : Optional.of(model);
    }

    /** Returns the models that requests should no longer be routed to. */
    List<String> modelsBeingEvicted() {
        return state == MoveState.RETIRING ? evictions : List.of();
    }

    /** Estimates the time until the model is loaded. */
    long remainingMillis(Engine engine, EngineReport report, long nowMillis) {
        long elapsedMillis = state == MoveState.LOADING ? nowMillis - phaseStartMillis : 0;
        return engine.model(model)
                .map(each -> isCachedOnHost(report, model) ? each.diskLoadMillis() : each.storeLoadMillis())
                .map(loadMillis -> Math.max(MIN_REMAINING_MILLIS, loadMillis - elapsedMillis))
                .orElse(0L);
    }

    /** Abandons the current move, as the engine has restarted. */
    void onEngineRestart() {
        nextPlanMillis = Long.MIN_VALUE;
        transition(MoveState.Event.LOST);
    }

    /**
     * Returns the next order.
     *
     * @param report the state reported by the engine.
     * @param planner the current plan.
     * @param inUse models in use by requests.
     * @param nowMillis the current monotonic time.
     */
    Optional<EngineControl.Order> nextOrder(EngineReport report, Planner planner, Set<String> inUse, long nowMillis) {
        switch (state) {
            case IDLE -> announce(planner, nowMillis);
            case ANNOUNCED -> confirm(report, planner, nowMillis);
            case LOADING -> awaitLoad(report, nowMillis);
            default -> {
                // The other states issue orders, below.
            }
        }
        return switch (state) {
            case RETIRING -> unload(report, inUse, nowMillis);
            case CLEARED -> load(report, planner);
            default -> Optional.empty();
        };
    }

    /** Handles the engine's answer to the order that {@link #nextOrder} returned. */
    void onAnswer(EngineControl.Order order, EngineControl.Answer answer, long nowMillis) {
        boolean isLoad = order.load() && order.adapter().isEmpty() && state == MoveState.CLEARED;
        if (isLoad && answer == EngineControl.Answer.TAKEN) {
            phaseStartMillis = nowMillis;
            transition(MoveState.Event.TAKE);
        } else if (isLoad && (answer == EngineControl.Answer.HOLDS || answer == EngineControl.Answer.REFUSED)) {
            transition(MoveState.Event.END);
        }
    }

    static boolean isCachedOnHost(EngineReport report, String model) {
        return report.onDisk().contains(model) || report.inHostMemory().contains(model);
    }

    private void announce(Planner planner, long nowMillis) {
        if (nowMillis < nextPlanMillis) {
            return;
        }
        Optional<CopyPlan.Step> planned = planner.nextStep(Optional.empty());
        if (planned.isEmpty()) {
            nextPlanMillis = nowMillis + EMPTY_PLAN_VALID_MILLIS;
            return;
        }
        model = planned.get().model();
        evictions = planned.get().evictions();
        phaseStartMillis = nowMillis;
        storeLoadCounted = false;
        transition(MoveState.Event.PLAN);
    }

    private void confirm(EngineReport report, Planner planner, long nowMillis) {
        // A load from the engine's own host into free memory costs other engines nothing and needs no second look at
        // the plan.
        boolean isCheap = evictions.isEmpty() && isCachedOnHost(report, model);
        if (!isCheap && nowMillis - phaseStartMillis < ANNOUNCEMENT_MILLIS) {
            return;
        }
        Optional<CopyPlan.Step> step =
                planner.nextStep(Optional.of(model)).filter(each -> each.model().equals(model));
        if (step.isEmpty()) {
            transition(MoveState.Event.WITHDRAW);
            return;
        }
        evictions = step.get().evictions();
        phaseStartMillis = nowMillis;
        LOG.log(System.Logger.Level.INFO, "residency: model comes model={0} makes_way={1}", model, evictions);
        transition(evictions.isEmpty() ? MoveState.Event.CLEAR : MoveState.Event.RETIRE);
    }

    private Optional<EngineControl.Order> unload(EngineReport report, Set<String> inUse, long nowMillis) {
        Optional<String> next = evictions.stream()
                .filter(held -> report.model(held).isPresent())
                .findFirst();
        if (next.isEmpty()) {
            transition(MoveState.Event.CLEAR);
            return Optional.empty();
        }
        long waitedMillis = nowMillis - phaseStartMillis;
        boolean isEvictable = waitedMillis >= EVICTION_NOTICE_MILLIS && !inUse.contains(next.get());
        return isEvictable || waitedMillis > EVICTION_WAIT_LIMIT_MILLIS
                ? next.map(held -> new EngineControl.Order(false, held, Optional.empty(), report.ordersTaken()))
                : Optional.empty();
    }

    private Optional<EngineControl.Order> load(EngineReport report, Planner planner) {
        if (report.model(model).isPresent()) {
            transition(MoveState.Event.END);
            return Optional.empty();
        }
        if (!isCachedOnHost(report, model) && !storeLoadCounted) {
            // Counted once: an order that is issued again after a missing answer is still the same load.
            if (!planner.tryStartStoreLoad()) {
                return Optional.empty();
            }
            storeLoadCounted = true;
        }
        return Optional.of(new EngineControl.Order(true, model, Optional.empty(), report.ordersTaken()));
    }

    /** Checks the load's completion; called while the engine executes no order. */
    private void awaitLoad(EngineReport report, long nowMillis) {
        if (report.model(model).isPresent() || nowMillis - phaseStartMillis > LOAD_VISIBLE_TIMEOUT_MILLIS) {
            transition(MoveState.Event.END);
        }
    }

    private void transition(MoveState.Event event) {
        MoveState.CHART.next(state, event).ifPresent(next -> state = next);
    }

    /** Gives access to the plan for this engine. */
    interface Planner {

        /**
         * Returns the step that the plan currently wants.
         *
         * @param announced the model that this process has announced; announcements of the same model by processes that
         *     rank behind it are ignored.
         */
        Optional<CopyPlan.Step> nextStep(Optional<String> announced);

        /** Returns whether a load from the weight store stays within the limit; if so, counts it as started. */
        boolean tryStartStoreLoad();
    }
}
