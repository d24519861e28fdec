package io.waxwingquay.peer;

/**
 * Numbers the status updates of one incarnation of a process, so that receivers discard updates that arrive late or
 * twice and recognise a restarted process.
 *
 * <p>Failure: a process restarts at the same address and counts from one. Symptom: receivers discard all its updates
 * until it has counted past its previous incarnation. Therefore the upper bits of a number hold the VM's monotonic time
 * at the start of the process, which continues over a restart of the process. After a restart of the VM itself that
 * time is far behind, which identifies the new incarnation.
 */
public final class UpdateSequence {

    /** The low bits that hold the count, enough for days of updates. */
    private static final int COUNT_BITS = 24;

    /** No datagram is in flight for so long, so a start that is further behind belongs to a restarted VM. */
    private static final long MAX_IN_FLIGHT_MILLIS = 10_000L;

    private long last;

    /**
     * Creates the sequence of one incarnation.
     *
     * @param startMillis the VM's monotonic time at the start of the process.
     */
    public UpdateSequence(long startMillis) {
        last = startMillis << COUNT_BITS;
    }

    /**
     * Returns the next number.
     *
     * @return a number higher than all previous ones.
     */
    public long next() {
        return ++last;
    }

    /**
     * Checks whether an update is older than another one or a duplicate of it.
     *
     * @param number the number of the update.
     * @param newest the number of the other update.
     * @return whether the update holds nothing new.
     */
    public static boolean isSuperseded(long number, long newest) {
        return number <= newest && startMillis(newest) - startMillis(number) < MAX_IN_FLIGHT_MILLIS;
    }

    /**
     * Checks whether two updates come from the same incarnation of a process.
     *
     * @param number the number of one update.
     * @param other the number of the other update.
     * @return whether the process did not restart between the updates.
     */
    public static boolean isSameIncarnation(long number, long other) {
        return startMillis(number) == startMillis(other);
    }

    private static long startMillis(long number) {
        return number >> COUNT_BITS;
    }
}
