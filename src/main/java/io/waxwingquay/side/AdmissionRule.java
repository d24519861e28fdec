package io.waxwingquay.side;

/**
 * Decides whether a request can still meet its deadline. Implementations are pure functions of the estimate.
 */
public interface AdmissionRule {

    /**
     * Decides whether a request may enter the queue.
     *
     * @param estimate the expected times of the request.
     * @return whether it may be queued.
     */
    boolean mayQueue(Estimate estimate);

    /**
     * Decides whether a queued request may still be sent to the target.
     *
     * @param estimate the expected times of the request, with no further wait.
     * @return whether it may start.
     */
    boolean mayStart(Estimate estimate);

    /** Rejects requests that would wait in the queue past their deadline, and starts every request that was queued. */
    AdmissionRule WAIT_ONLY = new WaitOnly();

    /** Rejects requests that would not finish by their deadline, both on admission and again before their start. */
    AdmissionRule WITH_RUN_TIME = new WithRunTime();

    /**
     * Like {@link #WITH_RUN_TIME}, but assumes a quarter more than the mean run time, as half of the runs exceed it.
     */
    AdmissionRule WITH_MARGIN = new WithMargin();

    /**
     * Queues every request, and checks the deadline only before the start, like a waiting room in front of a
     * rate-limited target.
     */
    AdmissionRule START_CHECK_ONLY = new StartCheckOnly();

    /**
     * The expected times of a request.
     *
     * @param waitMillis the expected time until its start.
     * @param runMillis the expected time from its start to its end; 0 if unknown.
     * @param budgetMillis the time that remains until its deadline.
     * @param running the number of requests that the target currently runs.
     */
    record Estimate(double waitMillis, double runMillis, long budgetMillis, int running) {

        /**
         * Returns whether the request is expected to finish by its deadline. An idle target accepts any request:
         * otherwise run times measured in a slow period would persist for ever, since rejected requests yield no newer
         * measurement.
         */
        boolean finishesInTime() {
            return running == 0 || waitMillis + runMillis <= budgetMillis;
        }
    }

    /** Implements {@link #WAIT_ONLY}. */
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

    /** Implements {@link #WITH_RUN_TIME}. */
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

    /** Implements {@link #WITH_MARGIN}. */
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

    /** Implements {@link #START_CHECK_ONLY}. */
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
