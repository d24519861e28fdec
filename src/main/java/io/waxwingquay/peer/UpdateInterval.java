package io.waxwingquay.peer;

/**
 * The interval at which a process resends its unchanged state. Changes are sent at once; resending repairs the loss of
 * datagrams. The interval grows with the number of receivers, so that the traffic of one process does not.
 */
public final class UpdateInterval {

    /** About half of the control datagrams that a node may send per second are available for these updates. */
    private static final long MILLIS_PER_RECEIVER = 40L;

    private static final long MIN_PERIOD_MILLIS = 200L;
    private static final long MIN_STALE_AFTER_MILLIS = 3_000L;

    /** The number of consecutive missing updates after which a process counts as gone or cut off. */
    private static final int MISSED_UPDATES_UNTIL_STALE = 3;

    private UpdateInterval() {}

    /**
     * Returns the interval between two updates of unchanged state.
     *
     * @param receivers the number of processes that receive the updates.
     * @return the interval in milliseconds.
     */
    public static long periodMillis(int receivers) {
        return Math.max(MIN_PERIOD_MILLIS, receivers * MILLIS_PER_RECEIVER);
    }

    /**
     * Returns how long an update is valid.
     *
     * @param receivers the number of processes that receive the sender's updates.
     * @return the time in milliseconds without an update after which the sender counts as gone.
     */
    public static long staleAfterMillis(int receivers) {
        return Math.max(MIN_STALE_AFTER_MILLIS, MISSED_UPDATES_UNTIL_STALE * periodMillis(receivers));
    }
}
