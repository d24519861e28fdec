package io.waxwingquay.routing;

import io.waxwingquay.membership.Side;

/**
 * Immutable snapshot of a side and of what this process knows of its load.
 *
 * @param side the side.
 * @param running requests that its target was running at the last report.
 * @param queued requests that were queued there at the last report.
 * @param queuedTokens tokens of the queued requests at the last report.
 * @param tokensPerSecond its target's throughput at the last report; 0 if unknown.
 * @param freeBytes free accelerator memory at the last report.
 * @param reportAgeMillis age of the last report; {@link #NO_REPORT} if there was none.
 * @param outstanding this process's requests outstanding at the side now.
 * @param latencyMillis smoothed latency of this process's requests at the side; 0 if unknown.
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

    /** The report age of a side that has sent no report. */
    public static final long NO_REPORT = Long.MAX_VALUE;

    private static final double ASSUMED_LATENCY_MILLIS = 50;
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Creates the view of a side whose load is unknown.
     *
     * @param side the side.
     * @return the view.
     */
    public static SideView unknown(Side side) {
        return new SideView(side, 0, 0, 0, 0, side.capacityBytes(), NO_REPORT, 0, 0);
    }

    /**
     * Returns the expected time until a new request completes on this side. The reported queue is assumed to drain
     * while the report ages; this process's own outstanding requests are known exactly and count in full.
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
     * Returns the requests at the side: those of the last report, or this process's own if they are more by now.
     *
     * @return the number of requests.
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
