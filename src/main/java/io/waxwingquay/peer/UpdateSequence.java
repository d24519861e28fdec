package io.waxwingquay.peer;

/**
 * Numbers what one life of a process tells, so that receivers pass over what was overtaken on the way and know a process
 * that has started again.
 *
 * <p>Failure: a process starts again at its address and counts from one. Symptom: receivers take all it says for
 * overtaken until it has counted past its earlier life. The upper part of a number is the VM's steady time at the start,
 * which goes on over a process's start; a VM that started again itself is far behind and told by that.
 */
public final class UpdateSequence {

    /** Room for the count, for days of tellings. */
    private static final int COUNT_BITS = 24;

    /** No datagram is on its way for so long, so an earlier start that is further behind is that of a later VM. */
    private static final long MAX_IN_FLIGHT_MILLIS = 10_000L;

    private long last;

    /**
     * Numbers of a life.
     *
     * @param startMillis the steady time at the process's start.
     */
    public UpdateSequence(long startMillis) {
        last = startMillis << COUNT_BITS;
    }

    /**
     * The next number.
     *
     * @return a number above all before.
     */
    public long next() {
        return ++last;
    }

    /**
     * Whether one telling was overtaken by another one, or is the same come twice.
     *
     * @param number its number.
     * @param newest the number of the other.
     * @return whether it says nothing new.
     */
    public static boolean isSuperseded(long number, long newest) {
        return number <= newest && startMillis(newest) - startMillis(number) < MAX_IN_FLIGHT_MILLIS;
    }

    /**
     * Whether two tellings are of the same life of a process.
     *
     * @param number the number of one.
     * @param other the number of the other.
     * @return whether the process has not started in between.
     */
    public static boolean isSameIncarnation(long number, long other) {
        return startMillis(number) == startMillis(other);
    }

    private static long startMillis(long number) {
        return number >> COUNT_BITS;
    }
}
