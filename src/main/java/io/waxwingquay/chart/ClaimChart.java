package io.waxwingquay.chart;

/**
 * The life of the claim to run one non-idempotent call.
 */
public final class ClaimChart {

    /** The chart, read and checked when this class is first used. */
    public static final StateChart<State, Event> CHART = StateChart.load("claim", State.class, Event.class);

    private ClaimChart() {}

    /** The states. */
    public enum State {
        /** One attempt, on one side process in one epoch, may run. */
        CLAIMED,
        /** It ran, and its outcome is kept for resends. */
        SETTLED,
        /** It did not run, and its attempt never will. */
        DID_NOT_RUN,
        /** It may have run; nothing runs under this claim again. */
        UNKNOWN
    }

    /** The events. */
    public enum Event {
        /** The side process reported the outcome. */
        SETTLE,
        /** The side process answered that it did not run and never will. */
        WITHDRAW,
        /** The named epoch is gone with its memory. */
        LOSE,
        /** A resend claims anew with a new attempt. */
        RECLAIM
    }
}
