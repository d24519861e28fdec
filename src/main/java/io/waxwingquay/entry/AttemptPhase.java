package io.waxwingquay.entry;

import io.waxwingquay.chart.StateChart;

/**
 * Phases of an attempt in the entry process. {@code charts/entry-attempt.chart} defines the transitions.
 */
public enum AttemptPhase {
    /** The attempt is being submitted to a side process. */
    SUBMITTING,
    /** A side process has accepted the attempt, and the entry polls its answer. */
    POLLING,
    /** The connection was lost, and the entry resumes the same attempt at the same side process. */
    RESUMING,
    /** The answer is complete. */
    DONE,
    /** The attempt has failed. */
    FAILED;

    /** Name of the state chart. */
    public static final String CHART_NAME = "entry-attempt";

    /** State chart with the transitions. */
    static final StateChart<AttemptPhase, Event> CHART = StateChart.load(CHART_NAME, AttemptPhase.class, Event.class);

    /**
     * Returns the phase after an event.
     *
     * @param event the event.
     * @return the next phase.
     * @throws io.waxwingquay.chart.ChartException.IllegalEvent if the event cannot happen in this phase.
     */
    AttemptPhase next(Event event) {
        return CHART.next(this, event).orElse(this);
    }

    /** Events of an attempt. */
    public enum Event {
        /** The side process accepted the attempt, or polling is resumed. */
        ACCEPTED,
        /** The side process answered a poll. */
        PROGRESS,
        /** A call to the side process failed or timed out. */
        CONNECTION_LOST,
        /** The last chunk of the answer arrived. */
        COMPLETED,
        /** The attempt was refused or failed, its deadline passed, or its caller disconnected. */
        ENDED
    }
}
