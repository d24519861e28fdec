package io.waxwingquay.membership;

import io.waxwingquay.transport.generated.SideRecord;

/**
 * How often a side may publish a change of demand alone, so that gossip of all sides together stays within a budget.
 *
 * <p>Each process hears of each change about as often as a rumour is pushed. With thousands of sides that binds: the
 * more sides there are, the rarer each may publish.
 */
public final class PublishInterval {

    private static final int COPIES_RECEIVED = 5;
    private static final double MILLIS_PER_SECOND = 1000.0;

    private PublishInterval() {}

    /**
     * The least time between two publications of a side.
     *
     * @param sides how many sides there are.
     * @param record the record.
     * @param budgetBytesPerSecond what a process may receive of them.
     * @return milliseconds.
     */
    public static long minMillis(int sides, SideRecord record, double budgetBytesPerSecond) {
        return (long) Math.ceil(
                MILLIS_PER_SECOND * sides * Records.sizeBytes(record) * COPIES_RECEIVED / budgetBytesPerSecond);
    }
}
