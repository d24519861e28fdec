package io.waxwingquay.entry;

import io.waxwingquay.chart.StateChart;

/**
 * Where an attempt stands, as the entry process sees it. {@code charts/entry-attempt.chart} has the moves.
 */
public enum AttemptPhase {
    /** It is being handed to a side process. */
    SUBMITTING,
    /** A side process has it, and the entry waits for its answer. */
    POLLING,
    /** The connection was lost, and the entry asks the same side process for the same attempt again. */
    RESUMING,
    /** The answer is whole. */
    DONE,
    /** It has failed for good. */
    FAILED;

    /** The name of the chart. */
    public static final String CHART_NAME = "entry-attempt";

    /** The chart. */
    static final StateChart<AttemptPhase, Event> CHART = StateChart.load(CHART_NAME, AttemptPhase.class, Event.class);

    /**
     * The next phase.
     *
     * @param event what happened.
     * @return the phase that follows.
     * @throws io.waxwingquay.chart.ChartException.IllegalEvent if the event cannot happen in this phase.
     */
    AttemptPhase next(Event event) {
        return CHART.next(this, event).orElse(this);
    }

    /** What happens to an attempt. */
    public enum Event {
        /** The side process took it. */
        ACCEPTED,
        /** The side process answered a poll. */
        PROGRESS,
        /** A call failed or stayed silent. */
        CONNECTION_LOST,
        /** The last piece of the answer came. */
        COMPLETED,
        /** It was refused, it failed, its time is over or its caller has gone. */
        ENDED
    }
}
