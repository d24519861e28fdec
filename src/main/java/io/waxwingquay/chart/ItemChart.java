package io.waxwingquay.chart;

/**
 * Where a model or adapter version stands in one accelerator's memory. All states but ABSENT count in full.
 */
public final class ItemChart {

    /** The chart, read and checked when this class is first used. */
    public static final StateChart<State, Event> CHART = StateChart.load("item", State.class, Event.class);

    private ItemChart() {}

    /** The states. */
    public enum State {
        /** It takes no memory and no open order can load it. */
        ABSENT,
        /** Its memory is set aside and a load order may be open. */
        RESERVED,
        /** The engine has confirmed that it is loaded. */
        RESIDENT,
        /** An eviction was ordered and is not yet confirmed. */
        EVICTING,
        /** An order got no answer, and may still take effect. */
        UNKNOWN
    }

    /** The events. */
    public enum Event {
        /** Its memory is set aside before the load order. */
        RESERVE,
        /** The load order was never sent. */
        WITHDRAW,
        /** The engine reports it loaded. */
        CONFIRM_RESIDENT,
        /** The engine reports it gone and no order for it is open. */
        CONFIRM_ABSENT,
        /** Its eviction is ordered. */
        EVICT,
        /** The order got no answer in time. */
        TIME_OUT
    }
}
