package io.waxwingquay.fleet;

/**
 * How many requests an engine serves late, by how many it runs at once. The plan of copies and the choice of an engine
 * weigh by the same figures.
 *
 * <p>Read off the log of a day of the users' tqa-furnace: 2 in 100 late at 15 requests of 64, 15 at 25, 45 at 55.
 */
public final class Crowding {

    /** The share served late when all places are taken. */
    public static final double LATE_SHARE_WHEN_FULL = 0.5;

    /** The part of its places up to which an engine serves all in time. */
    private static final double EASY_SHARE = 0.2;

    private Crowding() {}

    /**
     * The share of requests served late.
     *
     * @param taken requests at once over places; above 1 the line is carried on.
     * @return the share.
     */
    public static double lateShare(double taken) {
        return LATE_SHARE_WHEN_FULL * Math.max(0, taken - EASY_SHARE) / (1 - EASY_SHARE);
    }
}
