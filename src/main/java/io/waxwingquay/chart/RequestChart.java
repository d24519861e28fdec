package io.waxwingquay.chart;

/**
 * The life of one attempt at a request inside a side process.
 */
public final class RequestChart {

    /** The chart, read and checked when this class is first used. */
    public static final StateChart<State, Event> CHART = StateChart.load("request", State.class, Event.class);

    private RequestChart() {}

    /** The states. */
    public enum State {
        /** It has arrived and is not yet admitted. */
        RECEIVED,
        /** It waits for the target. */
        QUEUED,
        /** It was handed to the target. */
        RUNNING,
        /** The whole answer is there. */
        DONE,
        /** It ran or may have run, and has no whole answer. */
        FAILED,
        /** Its caller no longer wants it. */
        CANCELLED,
        /** It was refused and did not run. */
        REFUSED
    }

    /** The events. */
    public enum Event {
        /** It may wait for the target. */
        ADMIT,
        /** It is handed to the target. */
        START,
        /** The target gave the whole answer. */
        FINISH,
        /** The target failed or crashed. */
        FAIL,
        /** The caller went away. */
        CANCEL,
        /** It is refused before it starts. */
        REFUSE
    }
}
