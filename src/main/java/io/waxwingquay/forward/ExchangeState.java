package io.waxwingquay.forward;

import io.waxwingquay.chart.StateChart;

/** The states of a request; the transitions are in {@code charts/exchange.chart}. */
public enum ExchangeState {
    /** A replica is being chosen. */
    CHOOSING,
    /** The request waits for a model, an adapter or a slot. */
    AWAITING,
    /** The request was sent to a replica. */
    SENT,
    /** A part of the stream was sent to the caller. */
    STREAMING,
    /** The stream was interrupted, and a replica is being chosen to resume it. */
    RESUMING,
    /** The final response was sent. */
    DONE;

    /** The name of the chart. */
    public static final String CHART_NAME = "exchange";

    /** The state chart. */
    static final StateChart<ExchangeState, Event> CHART = StateChart.load(CHART_NAME, ExchangeState.class, Event.class);

    /** The events of a request. */
    public enum Event {
        /** The request has to wait for a model, an adapter or a slot. */
        AWAIT,
        /** The request is sent to a replica. */
        SEND,
        /** The first event of the stream is sent to the caller. */
        BEGIN,
        /** Another replica is to be chosen. */
        RETRY,
        /** The request goes on at a replica that was silent, and whatever was sought elsewhere is given up. */
        CONTINUE,
        /** The request ends. */
        END
    }
}
