package io.waxwingquay.placement;

/**
 * When a model gets or loses a replica beyond its base homes.
 *
 * @param highUnitsPerSecond requests a second per replica above which one is added.
 * @param lowUnitsPerSecond requests a second per replica below which one is given up.
 * @param scaleDownDelayMillis how long the load must stay below the low mark first.
 */
public record DemandThresholds(double highUnitsPerSecond, double lowUnitsPerSecond, long scaleDownDelayMillis) {

    /** No replica follows demand. */
    public static final DemandThresholds DISABLED = new DemandThresholds(Double.POSITIVE_INFINITY, 0, 0);

    /** Three requests a second add a replica, below one for a minute gives it up. */
    public static final DemandThresholds DEFAULT = new DemandThresholds(3.0, 1.0, 60_000);
}
