package io.waxwingquay.forward;

/** Counts requests for slots by outcome. */
public interface SlotMetrics {

    /** Counts a request for a slot of one engine, however often its message is sent. */
    void requested();

    /**
     * Counts a granted slot.
     *
     * @param waitMillis the time from the first message to that engine to the grant.
     */
    void granted(long waitMillis);

    /** Counts a denied slot. */
    void denied();

    /** Counts a request for a slot that the side process did not answer. */
    void silent();

    /** Counts nothing. */
    final class Disabled implements SlotMetrics {

        /** {@inheritDoc} */
        @Override
        public void requested() {}

        /** {@inheritDoc} */
        @Override
        public void granted(long waitMillis) {}

        /** {@inheritDoc} */
        @Override
        public void denied() {}

        /** {@inheritDoc} */
        @Override
        public void silent() {}
    }
}
