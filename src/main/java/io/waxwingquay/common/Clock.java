package io.waxwingquay.common;

import java.time.Instant;

/**
 * A source of time, injected wherever a decision depends on time, so that tests can control it.
 */
public interface Clock {

    /** The system clock. */
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
     * Returns a time that never goes backwards, for durations within this process.
     *
     * @return milliseconds since an arbitrary origin.
     */
    long monotonicMillis();

    /**
     * Returns the wall-clock time, for instants that other processes read.
     *
     * @return milliseconds since the epoch.
     */
    long epochMillis();
}
