package io.waxwingquay.side;

import io.waxwingquay.chart.StateChart;
import io.waxwingquay.transport.generated.AttemptState;
import java.util.Optional;

/**
 * The state of one attempt. {@code charts/attempt.chart} defines the transitions.
 */
public enum RequestState {
    /** Admitted, but not sent to the target. */
    QUEUED(AttemptState.QUEUED),
    /** Sent to the target. */
    RUNNING(AttemptState.RUNNING),
    /** The answer is complete. */
    DONE(AttemptState.DONE),
    /** Rejected or failed. */
    FAILED(AttemptState.FAILED),
    /** Cancelled or withdrawn. */
    CANCELLED(AttemptState.CANCELLED);

    /** The name of the state chart. */
    public static final String CHART_NAME = "attempt";

    /** The state chart. */
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

    /** An event that changes the state of an attempt. */
    public enum Event {
        /** The attempt is sent to the target. */
        START,
        /** The target has finished the attempt. */
        FINISH,
        /** The attempt was rejected, or its target failed. */
        FAIL,
        /** The attempt was rejected before it was sent to the target. */
        REFUSE,
        /** The answer is no longer wanted. */
        CANCEL,
        /** The attempt must never start. */
        WITHDRAW
    }
}
