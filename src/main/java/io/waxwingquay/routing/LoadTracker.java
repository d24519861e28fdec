package io.waxwingquay.routing;

import io.waxwingquay.membership.Side;
import io.waxwingquay.transport.generated.LoadReport;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.UnaryOperator;

/**
 * Tracks the latest reported load of each side and this process's own outstanding requests there. Safe for concurrent
 * use.
 */
public final class LoadTracker {

    private static final double SMOOTHING = 0.2;

    private final ConcurrentMap<String, SideLoad> loadBySideId = new ConcurrentHashMap<>();

    /**
     * Records a load report that came with an answer.
     *
     * @param sideId the side.
     * @param report the report, or {@code null} if the answer carried none.
     * @param nowMillis the monotonic time.
     */
    public void recordReport(String sideId, LoadReport report, long nowMillis) {
        if (report != null) {
            update(sideId, load -> load.withReport(report, nowMillis - report.getAgeMillis()));
        }
    }

    /**
     * Records that a request was sent to a side.
     *
     * @param sideId the side.
     */
    public void recordSent(String sideId) {
        update(sideId, load -> load.withOutstanding(load.outstanding() + 1));
    }

    /**
     * Records that a request to a side has ended, answered or not.
     *
     * @param sideId the side.
     */
    public void recordCompletion(String sideId) {
        update(sideId, load -> load.withOutstanding(Math.max(0, load.outstanding() - 1)));
    }

    /**
     * Records the latency of an answered request.
     *
     * @param sideId the side.
     * @param tookMillis from submission to the end of the answer.
     */
    public void recordLatency(String sideId, long tookMillis) {
        update(sideId, load -> load.withLatency(tookMillis));
    }

    /**
     * Combines sides with their load.
     *
     * @param sides the sides.
     * @param nowMillis the monotonic time.
     * @return immutable views in the same order.
     */
    public List<SideView> views(List<Side> sides, long nowMillis) {
        return sides.stream().map(side -> view(side, nowMillis)).toList();
    }

    /**
     * Returns this process's outstanding requests over all sides.
     *
     * @return the number of requests.
     */
    public long totalOutstanding() {
        return loadBySideId.values().stream().mapToLong(SideLoad::outstanding).sum();
    }

    /**
     * Drops sides that no longer exist, so that the map does not grow as VMs are replaced.
     *
     * @param sideIds the sides that still exist.
     */
    public void retain(Set<String> sideIds) {
        loadBySideId.keySet().retainAll(sideIds);
    }

    private SideView view(Side side, long nowMillis) {
        SideLoad load = loadBySideId.getOrDefault(side.id(), SideLoad.EMPTY);
        LoadReport report = load.report();
        if (report == null) {
            return new SideView(
                    side,
                    0,
                    0,
                    0,
                    0,
                    side.capacityBytes(),
                    SideView.NO_REPORT,
                    load.outstanding(),
                    load.latencyMillis());
        }
        return new SideView(
                side,
                report.getRunning(),
                report.getQueued(),
                report.getQueuedTokens(),
                report.getTokensPerSecond(),
                report.getFreeBytes(),
                Math.max(0, nowMillis - load.reportedAtMillis()),
                load.outstanding(),
                load.latencyMillis());
    }

    private void update(String sideId, UnaryOperator<SideLoad> change) {
        loadBySideId.compute(sideId, (id, load) -> change.apply(load == null ? SideLoad.EMPTY : load));
    }

    private record SideLoad(LoadReport report, long reportedAtMillis, int outstanding, double latencyMillis) {

        private static final SideLoad EMPTY = new SideLoad(null, 0, 0, 0);

        private SideLoad withReport(LoadReport newReport, long newReportedAtMillis) {
            boolean isOlder = report != null && newReportedAtMillis < reportedAtMillis;
            return isOlder ? this : new SideLoad(newReport, newReportedAtMillis, outstanding, latencyMillis);
        }

        private SideLoad withOutstanding(int count) {
            return new SideLoad(report, reportedAtMillis, count, latencyMillis);
        }

        private SideLoad withLatency(long tookMillis) {
            double smoothed =
                    latencyMillis == 0 ? tookMillis : latencyMillis + SMOOTHING * (tookMillis - latencyMillis);
            return new SideLoad(report, reportedAtMillis, outstanding, smoothed);
        }
    }
}
