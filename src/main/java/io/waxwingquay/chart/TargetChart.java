package io.waxwingquay.chart;

/**
 * The life of a target as its side process publishes it.
 */
public final class TargetChart {

    /** The chart, read and checked when this class is first used. */
    public static final StateChart<State, Event> CHART = StateChart.load("target", State.class, Event.class);

    private TargetChart() {}

    /** The states. */
    public enum State {
        /** It takes no work yet. */
        STARTING,
        /** It takes work. */
        SERVING,
        /** It takes no new work and finishes what it has. */
        LEAVING,
        /** It has no work left and is about to end. */
        GONE
    }

    /** The events. */
    public enum Event {
        /** It may take work. */
        READY,
        /** The target behind the side process went down. */
        CRASH,
        /** It shall leave. */
        LEAVE,
        /** Its last work has ended. */
        DRAIN
    }
}
