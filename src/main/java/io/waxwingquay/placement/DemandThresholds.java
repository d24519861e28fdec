package io.waxwingquay.placement;

/**
 * Thresholds of demand at which a model gains or loses copies beyond its base copies. The gap between them and the
 * delay provide hysteresis.
 *
 * @param highUnitsPerSecond requests per second per copy above which a copy is added.
 * @param lowUnitsPerSecond requests per second per copy below which a copy is removed.
 * @param scaleDownDelayMillis how long demand must stay below the low threshold before a copy is removed.
 */
public record DemandThresholds(double highUnitsPerSecond, double lowUnitsPerSecond, long scaleDownDelayMillis) {

    /** Thresholds at which the number of copies ignores demand. */
    public static final DemandThresholds DISABLED = new DemandThresholds(Double.POSITIVE_INFINITY, 0, 0);

    /** Adds a copy above 3 requests per second per copy; removes one after a minute below 1. */
    public static final DemandThresholds DEFAULT = new DemandThresholds(3.0, 1.0, 60_000);
}
