package io.waxwingquay.account;

/**
 * How far the sum of all entries may exceed a quota in one window.
 *
 * @param windowMillis the length of the window.
 * @param excessShare the excess as a share of what the quota allows in the window.
 * @param slackUnits the excess in addition, in units of the quota.
 */
public record QuotaTolerance(long windowMillis, double excessShare, double slackUnits) {

    /** No tolerance, for deployments that state none. */
    public static final QuotaTolerance NONE = new QuotaTolerance(1_000, 0, 0);

    /**
     * Share of the tolerance that a process which has just started may hand out without knowing what was spent before;
     * the rest is for what is spent between two reports.
     */
    private static final double UNKNOWN_PAST_SHARE = 0.5;

    /** Share of the slack by which the burst is widened, as a refusal of what the quota permits is worse than a little more. */
    private static final double SPENT_SLACK_SHARE = 0.25;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /**
     * Returns the quota that is kept: one whose burst is a little wider, so that it holds room for a few requests more
     * where the burst itself is worth only one or two.
     *
     * @param quota the quota.
     * @return the quota to keep.
     */
    Quota widened(Quota quota) {
        return new Quota(
                quota.perSecond(), quota.burst() + SPENT_SLACK_SHARE * slackUnits, quota.unit(), quota.plainTokens());
    }

    /**
     * Returns the balance of a quota of which nothing is known yet. The full burst would be handed out anew at each
     * start, also when all processes start again at the height of a burst.
     *
     * @param perSecond the rate of the quota.
     * @param burstUnits its burst.
     * @return the balance in units.
     */
    double initialUnits(double perSecond, double burstUnits) {
        double allowed = perSecond * windowMillis / MILLIS_PER_SECOND + burstUnits;
        return Math.min(burstUnits, UNKNOWN_PAST_SHARE * (allowed * excessShare + slackUnits));
    }
}
