package io.waxwingquay.placement;

/**
 * When a model gets or loses a replica beyond its base homes.
 *
 * @param highUnitsPerSecond requests a second per replica above which one is added.
 * @param lowUnitsPerSecond requests a second per replica below which one is given up.
 * @param holdMillis how long the load must stay below the low mark first.
 */
public record DemandMarks(double highUnitsPerSecond, double lowUnitsPerSecond, long holdMillis) {

    /** No replica follows demand. */
    public static final DemandMarks IGNORED = new DemandMarks(Double.POSITIVE_INFINITY, 0, 0);

    /** Three requests a second add a replica, below one for a minute gives it up. */
    public static final DemandMarks DEFAULT = new DemandMarks(3.0, 1.0, 60_000);
}
