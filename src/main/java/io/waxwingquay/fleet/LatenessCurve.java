package io.waxwingquay.fleet;

/**
 * Estimates the share of requests that an engine serves late as a function of its slot utilisation. Placement of model
 * copies and replica selection use the same curve.
 */
public final class LatenessCurve {

    /** The share of requests served late when all slots are occupied. */
    public static final double LATE_SHARE_WHEN_FULL = 0.5;

    /** The slot utilisation up to which an engine serves all requests in time. */
    private static final double ON_TIME_UTILISATION = 0.2;

    private LatenessCurve() {}

    /**
     * Estimates the share of requests served late.
     *
     * @param utilisation concurrent requests divided by slots; above 1 the curve is extrapolated linearly.
     * @return the estimated share.
     */
    public static double lateShare(double utilisation) {
        return LATE_SHARE_WHEN_FULL * Math.max(0, utilisation - ON_TIME_UTILISATION) / (1 - ON_TIME_UTILISATION);
    }
}
