package io.waxwingquay.membership;

import io.waxwingquay.transport.generated.SideRecord;

/**
 * The minimum interval between publications in which only a side's demand changed, so that the gossip traffic of all
 * sides stays within a budget.
 *
 * <p>Each process receives each change about as often as a rumour is pushed. With thousands of sides this traffic
 * dominates, so the interval grows with the number of sides.
 */
public final class PublishInterval {

    private static final int COPIES_RECEIVED = 5;
    private static final double MILLIS_PER_SECOND = 1000.0;

    private PublishInterval() {}

    /**
     * Returns the minimum time between two publications of a side.
     *
     * @param sides the number of sides.
     * @param record the record that is published.
     * @param budgetBytesPerSecond how many bytes of such records a process may receive per second.
     * @return the interval in milliseconds.
     */
    public static long minMillis(int sides, SideRecord record, double budgetBytesPerSecond) {
        return (long) Math.ceil(
                MILLIS_PER_SECOND * sides * Records.sizeBytes(record) * COPIES_RECEIVED / budgetBytesPerSecond);
    }
}
