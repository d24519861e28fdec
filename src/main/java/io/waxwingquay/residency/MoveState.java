package io.waxwingquay.residency;

import io.waxwingquay.chart.StateChart;

/**
 * The states of a model move: loading one model into an engine, with the evictions that it needs. Transitions are
 * defined in {@code charts/model-move.chart}.
 */
public enum MoveState {
    /** No move is in progress. */
    IDLE,
    /**
     * The model is announced to the other processes. The plan is checked again after the announcement delay, or without
     * it if the model is cached on the engine's host and needs no eviction.
     */
    ANNOUNCED,
    /** Other models are being evicted. */
    RETIRING,
    /** No model is left to evict; the load is ordered next or waits for the weight-store limit. */
    CLEARED,
    /** The engine is loading the model. */
    LOADING;

    /** The name of the state chart. */
    public static final String CHART_NAME = "model-move";

    /** The state chart. */
    static final StateChart<MoveState, Event> CHART = StateChart.load(CHART_NAME, MoveState.class, Event.class);

    /** Events of a model move. */
    public enum Event {
        /** The plan assigns a model to this engine. */
        PLAN,
        /** The plan no longer assigns this model to this engine. */
        WITHDRAW,
        /** Other models have to be evicted first. */
        RETIRE,
        /** No model is left to evict. */
        CLEAR,
        /** The engine has accepted the load order. */
        TAKE,
        /** The engine holds the model, refused the load order, or did not report the loaded model in time. */
        END,
        /** The engine has restarted. */
        LOST
    }
}
