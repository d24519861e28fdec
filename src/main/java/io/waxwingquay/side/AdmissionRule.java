package io.waxwingquay.side;

/**
 * Whether a request can still make its deadline. Pure.
 */
public interface AdmissionRule {

    /**
     * Whether a request may come in to wait.
     *
     * @param estimate what is expected of it.
     * @return whether it may.
     */
    boolean mayQueue(Estimate estimate);

    /**
     * Whether a request that has waited may still be handed to the target.
     *
     * @param estimate what is expected of it, without a wait.
     * @return whether it may.
     */
    boolean mayStart(Estimate estimate);

    /** Refuses what would wait past its deadline, and starts all that came in. */
    AdmissionRule WAIT_ONLY = new WaitOnly();

    /** Refuses what would not be finished by its deadline, at the door and once more before its start. */
    AdmissionRule WITH_RUN_TIME = new WithRunTime();

    /** As {@link #WITH_RUN_TIME}, with a quarter more than the mean time of a run, as half of the runs take longer. */
    AdmissionRule WITH_MARGIN = new WithMargin();

    /** Lets all wait, and offers a start until it is too late to finish: a waiting room before a paced target. */
    AdmissionRule START_CHECK_ONLY = new StartCheckOnly();

    /**
     * What is expected of a request.
     *
     * @param waitMillis until its start.
     * @param runMillis from its start to its end; 0 if unknown.
     * @param budgetMillis until its deadline.
     * @param running requests that the target runs now.
     */
    record Estimate(double waitMillis, double runMillis, long budgetMillis, int running) {

        /**
         * An idle target takes any request: else one slow spell would be believed for ever, since what is refused
         * brings no newer measure.
         */
        boolean finishesInTime() {
            return running == 0 || waitMillis + runMillis <= budgetMillis;
        }
    }

    /** See {@link #WAIT_ONLY}. */
    final class WaitOnly implements AdmissionRule {

        /** {@inheritDoc} */
        @Override
        public boolean mayQueue(Estimate estimate) {
            return estimate.waitMillis() <= estimate.budgetMillis();
        }

        /** {@inheritDoc} */
        @Override
        public boolean mayStart(Estimate estimate) {
            return true;
        }
    }

    /** See {@link #WITH_RUN_TIME}. */
    final class WithRunTime implements AdmissionRule {

        /** {@inheritDoc} */
        @Override
        public boolean mayQueue(Estimate estimate) {
            return estimate.finishesInTime();
        }

        /** {@inheritDoc} */
        @Override
        public boolean mayStart(Estimate estimate) {
            return estimate.finishesInTime();
        }
    }

    /** See {@link #WITH_MARGIN}. */
    final class WithMargin implements AdmissionRule {

        private static final double RUN_TIME_FACTOR = 1.25;

        /** {@inheritDoc} */
        @Override
        public boolean mayQueue(Estimate estimate) {
            return withMargin(estimate).finishesInTime();
        }

        /** {@inheritDoc} */
        @Override
        public boolean mayStart(Estimate estimate) {
            return withMargin(estimate).finishesInTime();
        }

        private static Estimate withMargin(Estimate estimate) {
            return new Estimate(
                    estimate.waitMillis(),
                    estimate.runMillis() * RUN_TIME_FACTOR,
                    estimate.budgetMillis(),
                    estimate.running());
        }
    }

    /** See {@link #START_CHECK_ONLY}. */
    final class StartCheckOnly implements AdmissionRule {

        /** {@inheritDoc} */
        @Override
        public boolean mayQueue(Estimate estimate) {
            return true;
        }

        /** {@inheritDoc} */
        @Override
        public boolean mayStart(Estimate estimate) {
            return estimate.finishesInTime();
        }
    }
}
