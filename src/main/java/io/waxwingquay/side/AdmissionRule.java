package io.waxwingquay.side;

/**
 * Whether a request can still make its deadline. Pure.
 */
public interface AdmissionRule {

    /**
     * Whether a request may come in to wait.
     *
     * @param outlook what is expected of it.
     * @return whether it may.
     */
    boolean mayEnter(Outlook outlook);

    /**
     * Whether a request that has waited may still be handed to the target.
     *
     * @param outlook what is expected of it, without a wait.
     * @return whether it may.
     */
    boolean mayStart(Outlook outlook);

    /** Refuses what would wait past its deadline, and starts all that came in. */
    AdmissionRule WAIT_ONLY = new WaitOnly();

    /** Refuses what would not be finished by its deadline, at the door and once more before its start. */
    AdmissionRule WITH_RUN_TIME = new WithRunTime();

    /** Lets all wait, and offers a start until it is too late to finish: a waiting room before a paced target. */
    AdmissionRule WAITING_ROOM = new WaitingRoom();

    /**
     * What is expected of a request.
     *
     * @param waitMillis until its start.
     * @param runMillis from its start to its end; 0 if unknown.
     * @param budgetMillis until its deadline.
     * @param running requests that the target runs now.
     */
    record Outlook(double waitMillis, double runMillis, long budgetMillis, int running) {

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
        public boolean mayEnter(Outlook outlook) {
            return outlook.waitMillis() <= outlook.budgetMillis();
        }

        /** {@inheritDoc} */
        @Override
        public boolean mayStart(Outlook outlook) {
            return true;
        }
    }

    /** See {@link #WITH_RUN_TIME}. */
    final class WithRunTime implements AdmissionRule {

        /** {@inheritDoc} */
        @Override
        public boolean mayEnter(Outlook outlook) {
            return outlook.finishesInTime();
        }

        /** {@inheritDoc} */
        @Override
        public boolean mayStart(Outlook outlook) {
            return outlook.finishesInTime();
        }
    }

    /** See {@link #WAITING_ROOM}. */
    final class WaitingRoom implements AdmissionRule {

        /** {@inheritDoc} */
        @Override
        public boolean mayEnter(Outlook outlook) {
            return true;
        }

        /** {@inheritDoc} */
        @Override
        public boolean mayStart(Outlook outlook) {
            return outlook.finishesInTime();
        }
    }
}
