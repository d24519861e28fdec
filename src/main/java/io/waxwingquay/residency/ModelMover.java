package io.waxwingquay.residency;

import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.manifest.Engine;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Brings one model at a time into an engine: tells the others, looks at the plan once more, lets other models go, and
 * orders the load. What has begun to go is always followed by the model that it went for.
 */
final class ModelMover {

    /**
     * Time for an announcement to reach the others before it is acted on.
     *
     * <p>Failure: demand for a model rises and every process finds in the same instant that a copy is missing. Symptom:
     * all engines drop what they hold for the same model. With the pause each hears of the others first.
     */
    private static final long ANNOUNCEMENT_MILLIS = 130L;

    /** Time for entries to hear that a model goes, before its unload is ordered. */
    private static final long EVICTION_NOTICE_MILLIS = 130L;

    /** Requests that still use a model that goes are waited for this long; its unload would wait for them anyway. */
    private static final long EVICTION_WAIT_LIMIT_MILLIS = 3_000L;

    /** A load that the engine does not show after this was lost. */
    private static final long LOAD_VISIBLE_TIMEOUT_MILLIS = 600L;

    /** A load that should be over has at least this to go. */
    private static final long MIN_REMAINING_MILLIS = 50L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.residency");

    private MoveState state = MoveState.CHART.initial();
    private String model = "";
    private List<String> evictions = List.of();
    private long phaseStartMillis;
    private boolean storeLoadCounted;

    /** The model that is being brought in. */
    Optional<String> loadingModel() {
        return state == MoveState.IDLE ? Optional.empty() : Optional.of(model);
    }

    /** Models that requests should no longer be sent for. */
    List<String> modelsBeingEvicted() {
        return state == MoveState.RETIRING ? evictions : List.of();
    }

    /** How long until the model is expected to be there. */
    long remainingMillis(Engine engine, EngineReport report, long nowMillis) {
        long elapsedMillis = state == MoveState.LOADING ? nowMillis - phaseStartMillis : 0;
        return engine.model(model)
                .map(each -> isCachedOnHost(report, model) ? each.diskLoadMillis() : each.storeLoadMillis())
                .map(loadMillis -> Math.max(MIN_REMAINING_MILLIS, loadMillis - elapsedMillis))
                .orElse(0L);
    }

    /** The engine has begun another life. */
    void onEngineRestart() {
        transition(MoveState.Event.LOST);
    }

    /**
     * The next order.
     *
     * @param report what the engine says.
     * @param planner what the plan wants now.
     * @param inUse models that requests use.
     * @param nowMillis the steady time.
     */
    Optional<EngineControl.Order> nextOrder(EngineReport report, Planner planner, Set<String> inUse, long nowMillis) {
        switch (state) {
            case IDLE -> announce(planner, nowMillis);
            case ANNOUNCED -> confirm(report, planner, nowMillis);
            case LOADING -> awaitLoad(report, nowMillis);
            default -> {
                // The others give orders, below.
            }
        }
        return switch (state) {
            case RETIRING -> unload(report, inUse, nowMillis);
            case CLEARED -> load(report, planner);
            default -> Optional.empty();
        };
    }

    /** What the engine answered to the order that {@link #nextOrder} gave. */
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
        planner.nextStep(Optional.empty()).ifPresent(step -> {
            model = step.model();
            evictions = step.evictions();
            phaseStartMillis = nowMillis;
            storeLoadCounted = false;
            transition(MoveState.Event.PLAN);
        });
    }

    private void confirm(EngineReport report, Planner planner, long nowMillis) {
        // What costs others nothing needs no second look: a load into free room from the engine's own host.
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
            // Counted once: an order without an answer is given again, and is still the same load.
            if (!planner.tryStartStoreLoad()) {
                return Optional.empty();
            }
            storeLoadCounted = true;
        }
        return Optional.of(new EngineControl.Order(true, model, Optional.empty(), report.ordersTaken()));
    }

    /** Called while the engine carries out no order. */
    private void awaitLoad(EngineReport report, long nowMillis) {
        if (report.model(model).isPresent() || nowMillis - phaseStartMillis > LOAD_VISIBLE_TIMEOUT_MILLIS) {
            transition(MoveState.Event.END);
        }
    }

    private void transition(MoveState.Event event) {
        MoveState.CHART.next(state, event).ifPresent(next -> state = next);
    }

    /** What the plan wants of this engine. */
    interface Planner {

        /**
         * The step that the plan wants now.
         *
         * @param announced the model that this process has announced; announcements of the same model by processes that
         *     come after it in order are passed over.
         */
        Optional<CopyPlan.Step> nextStep(Optional<String> announced);

        /** Whether a load from the weight store stays below the ceiling; if so it is counted as begun. */
        boolean tryStartStoreLoad();
    }
}
