package io.waxwingquay.side;

import io.waxwingquay.chart.StateChart;
import io.waxwingquay.transport.generated.AttemptState;
import java.util.Optional;

/**
 * State of one attempt. {@code charts/attempt.chart} has the moves.
 */
public enum RequestState {
    /** Taken in, not handed to the target. */
    QUEUED(AttemptState.QUEUED),
    /** Handed to the target. */
    RUNNING(AttemptState.RUNNING),
    /** The whole answer is here. */
    DONE(AttemptState.DONE),
    /** It ended with a refusal. */
    FAILED(AttemptState.FAILED),
    /** It was cancelled or withdrawn. */
    CANCELLED(AttemptState.CANCELLED);

    /** The name of the chart. */
    public static final String CHART_NAME = "attempt";

    /** The chart. */
    static final StateChart<RequestState, Event> CHART = StateChart.load(CHART_NAME, RequestState.class, Event.class);

    private final AttemptState wireState;

    RequestState(AttemptState wireState) {
        this.wireState = wireState;
    }

    AttemptState wireState() {
        return wireState;
    }

    boolean hasEnded() {
        return this == DONE || this == FAILED || this == CANCELLED;
    }

    Optional<RequestState> next(Event event) {
        return CHART.next(this, event);
    }

    /** What moves an attempt. */
    public enum Event {
        /** It is handed to the target. */
        START,
        /** The target finished it. */
        FINISH,
        /** It was refused or its target failed. */
        FAIL,
        /** It was refused before it was handed over. */
        REFUSE,
        /** Nobody wants its answer. */
        CANCEL,
        /** It must never start. */
        WITHDRAW
    }
}
