package io.waxwingquay.residency;

import io.waxwingquay.chart.StateChart;

/**
 * The states of a model move, which loads a model into an engine; transitions are defined in
 * {@code charts/model-move.chart}.
 */
public enum MoveState {
    /** No move is in progress. */
    IDLE,
    /** The model is announced to the other processes, and the plan is about to be asked again. */
    ANNOUNCED,
    /** Other models are being evicted. */
    RETIRING,
    /** There is enough free memory. */
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
        /** Another engine loads the model, or it is no longer wanted. */
        WITHDRAW,
        /** Other models have to be evicted first. */
        RETIRE,
        /** There is enough free memory for the model. */
        CLEAR,
        /** The engine has accepted the load order. */
        TAKE,
        /** The model is loaded or will not be loaded. */
        END,
        /** The engine has restarted. */
        LOST
    }
}
