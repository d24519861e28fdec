package io.waxwingquay.common;

import java.time.Instant;

/**
 * The time, injected wherever a decision depends on it, so that the decision can be tested by script.
 */
public interface Clock {

    /** The clock of this machine. */
    Clock SYSTEM = new Clock() {
        /** {@inheritDoc} */
        @Override
        public long monotonicMillis() {
            return System.nanoTime() / 1_000_000L;
        }

        /** {@inheritDoc} */
        @Override
        public long epochMillis() {
            return Instant.now().toEpochMilli();
        }
    };

    /**
     * A time that never steps backwards, for durations within this process.
     *
     * @return milliseconds since an arbitrary origin.
     */
    long monotonicMillis();

    /**
     * The wall clock, for instants that other processes read.
     *
     * @return milliseconds since the epoch.
     */
    long epochMillis();
}
