package io.waxwingquay.bundle;

import io.waxwingquay.chart.StateChart;

/**
 * The life of a bundle from draft to replacement.
 */
public final class BundleChart {

    /** The name of the chart. */
    public static final String CHART_NAME = "bundle";

    /** The chart. */
    public static final StateChart<State, Event> CHART = StateChart.load(CHART_NAME, State.class, Event.class);

    private BundleChart() {}

    /** The states. */
    public enum State {
        /** Its author still edits it. */
        DRAFTED,
        /** An operator has signed its exact bytes. */
        SIGNED,
        /** Its bytes are in the object store, which has no effect yet. */
        STORED,
        /** It has won the compare-and-set on the table row. */
        ACCEPTED,
        /** Processes have adopted it. */
        IN_FORCE,
        /** A higher version has replaced it. */
        SUPERSEDED,
        /** It was refused and never takes effect. */
        REFUSED
    }

    /** The events. */
    public enum Event {
        /** An operator signs it. */
        SIGN,
        /** The object store has taken it. */
        STORE,
        /** The table row names it. */
        ACCEPT,
        /** A process takes it. */
        ADOPT,
        /** A higher version is accepted. */
        SUPERSEDE,
        /** A check failed or another bundle won. */
        REFUSE
    }
}
