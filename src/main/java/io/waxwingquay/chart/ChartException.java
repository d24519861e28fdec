package io.waxwingquay.chart;

import java.util.List;

/**
 * A malformed state chart or an event that it does not allow.
 */
public class ChartException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
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
         * Creates an exception.
         *
         * @param chart the chart's name.
         * @param faults the faults of the chart.
         */
        public Malformed(String chart, List<String> faults) {
            super("chart " + chart + ": " + String.join("; ", faults));
        }
    }

    /** An event occurred in a state in which it is illegal, which is a bug in the code that raised it. */
    public static final class IllegalEvent extends ChartException {

        private static final long serialVersionUID = 1L;

        /**
         * Creates an exception.
         *
         * @param chart the chart's name.
         * @param state the state.
         * @param event the event.
         */
        public IllegalEvent(String chart, Enum<?> state, Enum<?> event) {
            super("chart " + chart + ": event " + event + " is illegal in state " + state);
        }
    }
}
