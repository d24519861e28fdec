package io.waxwingquay.residency;

import io.waxwingquay.chart.StateChart;

/** The states of bringing in a model; the moves between them are in {@code charts/model-move.chart}. */
public enum MoveState {
    /** Nothing is to be brought in. */
    IDLE,
    /** The others are told, and the plan is looked at once more. */
    ANNOUNCED,
    /** Other models are about to go. */
    RETIRING,
    /** There is room. */
    CLEARED,
    /** The engine loads it. */
    LOADING;

    /** The chart's name. */
    public static final String CHART_NAME = "model-move";

    /** The chart. */
    static final StateChart<MoveState, Event> CHART = StateChart.load(CHART_NAME, MoveState.class, Event.class);

    /** What happens. */
    public enum Event {
        /** The plan wants a model here. */
        PLAN,
        /** Others bring it in, or it is not wanted any more. */
        WITHDRAW,
        /** Other models have to go first. */
        RETIRE,
        /** There is room for it. */
        CLEAR,
        /** The engine has taken the order to load it. */
        TAKE,
        /** It is there, or will not come. */
        END,
        /** The engine has begun another life. */
        LOST
    }
}
