package io.waxwingquay.chart;

import java.util.List;

/**
 * Thrown when a state chart cannot be loaded or an event is illegal in the current state.
 */
public class ChartException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception with a message.
     *
     * @param message what failed, naming the chart.
     */
    public ChartException(String message) {
        super(message);
    }

    /** The chart is missing or malformed; the message lists every fault. */
    public static final class Malformed extends ChartException {

        private static final long serialVersionUID = 1L;

        /**
         * Creates an exception for a chart that cannot be loaded.
         *
         * @param chart the chart's name.
         * @param faults every fault that was found.
         */
        public Malformed(String chart, List<String> faults) {
            super("chart " + chart + ": " + String.join("; ", faults));
        }
    }

    /** An event occurred in a state in which it is illegal, which is a bug in the code that sent the event. */
    public static final class IllegalEvent extends ChartException {

        private static final long serialVersionUID = 1L;

        /**
         * Creates an exception for an illegal event.
         *
         * @param chart the chart's name.
         * @param state the state in which the event occurred.
         * @param event the event that is illegal in this state.
         */
        public IllegalEvent(String chart, Enum<?> state, Enum<?> event) {
            super("chart " + chart + ": event " + event + " is illegal in state " + state);
        }
    }
}
