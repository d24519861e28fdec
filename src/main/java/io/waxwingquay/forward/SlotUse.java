package io.waxwingquay.forward;

/** Decides which engines a request asks for a slot before it is sent there. */
interface SlotUse {

    /**
     * Returns whether a request needs a slot that the side process of an engine grants.
     *
     * @param target the replica.
     * @param nowMillis the monotonic time.
     */
    boolean appliesTo(Target target, long nowMillis);

    /** Asks no engine: requests are sent by estimates of its load. */
    final class Disabled implements SlotUse {

        /** {@inheritDoc} */
        @Override
        public boolean appliesTo(Target target, long nowMillis) {
            return false;
        }
    }

    /** Asks the engines whose side processes grant slots. */
    final class WhereGranted implements SlotUse {

        /** {@inheritDoc} */
        @Override
        public boolean appliesTo(Target target, long nowMillis) {
            return target.grantsSlots(nowMillis);
        }
    }
}
