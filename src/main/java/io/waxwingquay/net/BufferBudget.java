package io.waxwingquay.net;

/**
 * Counts the bytes that a process holds for its callers, in total, against a maximum. It only counts; what is done about
 * a total that is too high is decided by those who ask. Used on one loop only.
 */
public interface BufferBudget {

    /** Share of the heap that may be held for callers; the rest is for everything else, and for copies in transit. */
    double HEAP_SHARE = 0.25;

    /**
     * Returns a budget without a maximum, which counts nothing.
     *
     * @return the budget.
     */
    static BufferBudget disabled() {
        return new Disabled();
    }

    /**
     * Returns a budget with a maximum.
     *
     * @param maxBytes the maximum.
     * @return the budget, of which nothing is used.
     */
    static BufferBudget ofBytes(long maxBytes) {
        return new Default(maxBytes);
    }

    /**
     * Returns a budget of a share of the maximum heap of this process.
     *
     * @return the budget, of which nothing is used.
     */
    static BufferBudget ofHeapShare() {
        return ofBytes((long) (HEAP_SHARE * Runtime.getRuntime().maxMemory()));
    }

    /**
     * Opens a holding, in which one owner counts its bytes.
     *
     * @return a holding of 0 bytes.
     */
    Holding open();

    /**
     * Returns the bytes of all holdings together.
     *
     * @return the number of bytes.
     */
    long heldBytes();

    /**
     * Returns whether further bytes fit below the maximum.
     *
     * @param bytes the number of bytes.
     * @return whether they fit; for 0, whether the maximum is not exceeded.
     */
    boolean hasRoomFor(long bytes);

    /**
     * Returns whether a part of a request's body may be taken in: below seven eighths of the maximum, so that bodies alone
     * never keep responses in progress from being passed on.
     *
     * @param bytes the length of the part.
     * @return whether it may.
     */
    boolean hasRoomForRequest(long bytes);

    /**
     * Returns whether more than half of the maximum is held.
     *
     * @return whether that is the case.
     */
    boolean isOverHalf();

    /** The bytes of one owner. It sets their total, so that no change is counted twice. */
    interface Holding {

        /**
         * Sets the number of bytes that the owner holds; without effect once the holding is closed.
         *
         * @param bytes the number of bytes, instead of the one before.
         */
        void set(long bytes);

        /** Gives all bytes back for good; further calls have no effect. */
        void close();
    }

    /** Counts against a maximum. */
    final class Default implements BufferBudget {

        private static final double REQUEST_SHARE = 7.0 / 8;

        private final long maxBytes;
        private long heldBytes;

        private Default(long maxBytes) {
            this.maxBytes = maxBytes;
        }

        /** {@inheritDoc} */
        @Override
        public Holding open() {
            return new CountedHolding();
        }

        /** {@inheritDoc} */
        @Override
        public long heldBytes() {
            return heldBytes;
        }

        /** {@inheritDoc} */
        @Override
        public boolean hasRoomFor(long bytes) {
            return bytes <= maxBytes - heldBytes;
        }

        /** {@inheritDoc} */
        @Override
        public boolean hasRoomForRequest(long bytes) {
            return bytes <= REQUEST_SHARE * maxBytes - heldBytes;
        }

        /** {@inheritDoc} */
        @Override
        public boolean isOverHalf() {
            return heldBytes > maxBytes / 2;
        }

        private final class CountedHolding implements Holding {

            private long bytes;
            private boolean closed;

            /** {@inheritDoc} */
            @Override
            public void set(long newBytes) {
                if (!closed) {
                    heldBytes += newBytes - bytes;
                    bytes = newBytes;
                }
            }

            /** {@inheritDoc} */
            @Override
            public void close() {
                set(0);
                closed = true;
            }
        }
    }

    /** Counts nothing and always has room. */
    final class Disabled implements BufferBudget {

        private Disabled() {}

        /** {@inheritDoc} */
        @Override
        public Holding open() {
            return new UncountedHolding();
        }

        /** {@inheritDoc} */
        @Override
        public long heldBytes() {
            return 0;
        }

        /** {@inheritDoc} */
        @Override
        public boolean hasRoomFor(long bytes) {
            return true;
        }

        /** {@inheritDoc} */
        @Override
        public boolean hasRoomForRequest(long bytes) {
            return true;
        }

        /** {@inheritDoc} */
        @Override
        public boolean isOverHalf() {
            return false;
        }

        private static final class UncountedHolding implements Holding {

            /** {@inheritDoc} */
            @Override
            public void set(long bytes) {
                // not counted
            }

            /** {@inheritDoc} */
            @Override
            public void close() {
                // nothing was counted
            }
        }
    }
}
