package io.waxwingquay.peer;

/**
 * How often a process says again what has not changed. What has changed is told at once; saying it again makes good what
 * was lost. The pause grows with the number of receivers, so that what one process sends for this does not.
 */
public final class UpdateInterval {

    /** Of the datagrams that a node may send in a second for control, about half are left for this. */
    private static final long MILLIS_PER_RECEIVER = 40L;

    private static final long MIN_PERIOD_MILLIS = 200L;
    private static final long MIN_STALE_AFTER_MILLIS = 3_000L;

    /** A process is taken to be gone or cut off when so many tellings in a row did not come. */
    private static final int MAX_MISSED_UPDATES = 3;

    private UpdateInterval() {}

    /**
     * The pause between two tellings.
     *
     * @param receivers how many processes are told.
     * @return the pause.
     */
    public static long periodMillis(int receivers) {
        return Math.max(MIN_PERIOD_MILLIS, receivers * MILLIS_PER_RECEIVER);
    }

    /**
     * How long what was told counts.
     *
     * @param receivers how many processes the sender tells.
     * @return the time after which silence means that the sender is gone.
     */
    public static long staleAfterMillis(int receivers) {
        return Math.max(MIN_STALE_AFTER_MILLIS, MAX_MISSED_UPDATES * periodMillis(receivers));
    }
}
