package io.waxwingquay.chart;

import java.util.List;

/**
 * A failure of a state chart.
 */
public class ChartException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * A failure.
     *
     * @param message what failed, naming the chart.
     */
    public ChartException(String message) {
        super(message);
    }

    /** The chart's file is faulty; the message lists every fault. */
    public static final class Malformed extends ChartException {

        private static final long serialVersionUID = 1L;

        /**
         * A faulty chart.
         *
         * @param chart the chart's name.
         * @param faults what is wrong with it.
         */
        public Malformed(String chart, List<String> faults) {
            super("chart " + chart + ": " + String.join("; ", faults));
        }
    }

    /** An event came in a state that must never see it, which is a fault of the code that sent it. */
    public static final class IllegalEvent extends ChartException {

        private static final long serialVersionUID = 1L;

        /**
         * An illegal event.
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
