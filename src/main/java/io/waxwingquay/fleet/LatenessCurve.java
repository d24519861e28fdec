package io.waxwingquay.fleet;

/**
 * How many requests an engine is assumed to serve late, by the part of its places that is taken. The plan of copies and
 * the choice of an engine weigh by the same figures.
 */
public final class LatenessCurve {

    /** The share served late when all places are taken. */
    public static final double LATE_SHARE_WHEN_FULL = 0.5;

    /** The part of its places up to which an engine serves all in time. */
    private static final double ON_TIME_UTILISATION = 0.2;

    private LatenessCurve() {}

    /**
     * The share of requests served late.
     *
     * @param utilisation requests at once over places; above 1 the line is carried on.
     * @return the share.
     */
    public static double lateShare(double utilisation) {
        return LATE_SHARE_WHEN_FULL * Math.max(0, utilisation - ON_TIME_UTILISATION) / (1 - ON_TIME_UTILISATION);
    }
}
