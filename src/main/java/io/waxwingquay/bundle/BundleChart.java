package io.waxwingquay.bundle;

import io.waxwingquay.chart.StateChart;

/**
 * The state chart of a bundle, from draft to replacement.
 */
public final class BundleChart {

    /** The name of the state chart. */
    public static final String CHART_NAME = "bundle";

    /** The state chart. */
    public static final StateChart<State, Event> CHART = StateChart.load(CHART_NAME, State.class, Event.class);

    private BundleChart() {}

    /** The states of a bundle. */
    public enum State {
        /** The author still edits the bundle. */
        DRAFTED,
        /** An operator has signed the exact bytes of the document. */
        SIGNED,
        /** The document is in the object store, which has no effect yet. */
        STORED,
        /** The compare-and-set on the table row succeeded. */
        ACCEPTED,
        /** Processes have adopted the bundle. */
        IN_FORCE,
        /** A higher version has replaced the bundle. */
        SUPERSEDED,
        /** The bundle was refused and never takes effect. */
        REFUSED
    }

    /** The events that change the state of a bundle. */
    public enum Event {
        /** An operator signs the bundle. */
        SIGN,
        /** The object store has stored the document. */
        STORE,
        /** The table row names the bundle. */
        ACCEPT,
        /** A process adopts the bundle. */
        ADOPT,
        /** A higher version is accepted. */
        SUPERSEDE,
        /** A check failed, or another bundle was accepted instead. */
        REFUSE
    }
}
