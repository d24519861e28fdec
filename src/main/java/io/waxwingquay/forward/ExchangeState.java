package io.waxwingquay.forward;

import io.waxwingquay.chart.StateChart;

/** The states of a request; the moves between them are in {@code charts/exchange.chart}. */
public enum ExchangeState {
    /** A replica is being chosen. */
    CHOOSING,
    /** It waits for a model or an adapter. */
    AWAITING,
    /** It was sent to a replica. */
    SENT,
    /** A part of a stream has gone to the caller. */
    STREAMING,
    /** A stream broke off, and a replica is being chosen to go on with it. */
    RESUMING,
    /** It has its final answer. */
    DONE;

    /** The chart's name. */
    public static final String CHART_NAME = "exchange";

    /** The chart. */
    static final StateChart<ExchangeState, Event> CHART = StateChart.load(CHART_NAME, ExchangeState.class, Event.class);

    /** What happens to a request. */
    public enum Event {
        /** It has to wait for a model or an adapter. */
        AWAIT,
        /** It is sent to a replica. */
        SEND,
        /** The first event of its stream goes to the caller. */
        BEGIN,
        /** Another replica is to be chosen. */
        RETRY,
        /** It is over. */
        END
    }
}
