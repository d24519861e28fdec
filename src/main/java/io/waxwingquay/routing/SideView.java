package io.waxwingquay.routing;

import io.waxwingquay.membership.Side;

/**
 * A side together with what this process knows of its load; an immutable snapshot.
 *
 * @param side the side.
 * @param running requests its target ran, by its last report.
 * @param queued requests that waited at it, by its last report.
 * @param queuedTokens tokens of the waiting requests, by its last report.
 * @param tokensPerSecond its target's rate, by its last report; 0 if unknown.
 * @param freeBytes accelerator memory free, by its last report.
 * @param reportAgeMillis age of the last report; {@link #NO_REPORT} if there was none.
 * @param outstanding requests of this process at the side now.
 * @param latencyMillis smoothed time of this process's requests at the side; 0 if unknown.
 */
public record SideView(
        Side side,
        int running,
        int queued,
        long queuedTokens,
        double tokensPerSecond,
        long freeBytes,
        long reportAgeMillis,
        int outstanding,
        double latencyMillis) {

    /** The age of a report that never came. */
    public static final long NO_REPORT = Long.MAX_VALUE;

    private static final double ASSUMED_LATENCY_MILLIS = 50;
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * A side of which no load is known.
     *
     * @param side the side.
     * @return the view.
     */
    public static SideView unknown(Side side) {
        return new SideView(side, 0, 0, 0, 0, side.capacityBytes(), NO_REPORT, 0, 0);
    }

    /**
     * The expected time until a new request finishes there. What the report said of the queue is worked off
     * as the report ages; this process's own outstanding requests are known now and count in full.
     *
     * @return milliseconds.
     */
    public double expectedCompletionMillis() {
        double requestMillis = latencyMillis > 0 ? latencyMillis : ASSUMED_LATENCY_MILLIS;
        double reportedMillis = reportedWorkMillis(requestMillis);
        double remainingMillis = Math.max(0, reportedMillis - Math.min(reportAgeMillis, reportedMillis));
        double ownRequestsMillis = outstanding * requestMillis / Math.max(1, running);
        return requestMillis + Math.max(remainingMillis, 0) + ownRequestsMillis;
    }

    /**
     * Requests at the side: those of the last report, or this process's own if they are more by now.
     *
     * @return the number.
     */
    public int inFlight() {
        return Math.max(running + queued, outstanding);
    }

    private double reportedWorkMillis(double requestMillis) {
        if (reportAgeMillis == NO_REPORT) {
            return 0;
        }
        return tokensPerSecond > 0
                ? queuedTokens * MILLIS_PER_SECOND / tokensPerSecond
                : queued * requestMillis / Math.max(1, running);
    }
}
