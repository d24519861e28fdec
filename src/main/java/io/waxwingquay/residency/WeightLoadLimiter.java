package io.waxwingquay.residency;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * Limits the loads from the weight store in a sliding window. The limit holds across all engines; each process takes
 * its share by the number of engines, so that the limit holds without the platform's store, and also considers the
 * loads that the others report.
 */
public final class WeightLoadLimiter {

    /**
     * The limit allows a few loads in addition to the rate; this one is reserved for differing views of the processes.
     */
    private static final double RESERVED_LOADS = 1.0;

    private static final double BURST_LOADS = 3.0;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final long windowMillis;
    private final double burstFactor;
    private final Deque<Long> loadStartsMillis = new ArrayDeque<>();
    private OptionalLong assumedLoadMillis = OptionalLong.empty();

    /**
     * Creates a limiter.
     *
     * @param windowMillis the length of the window in which loads are counted.
     * @param burstFactor the factor by which loads in one window may exceed the rate.
     */
    public WeightLoadLimiter(long windowMillis, double burstFactor) {
        this.windowMillis = windowMillis;
        this.burstFactor = burstFactor;
    }

    /**
     * Returns the limit for one window.
     *
     * @param loadsPerSecond the rate across all engines.
     * @param engines the number of engines.
     * @return the limit.
     */
    public Limit limit(double loadsPerSecond, int engines) {
        double totalLoads =
                loadsPerSecond * windowMillis / MILLIS_PER_SECOND * burstFactor + BURST_LOADS - RESERVED_LOADS;
        return new Limit(totalLoads, Math.max(1, (int) Math.floor(totalLoads / Math.max(1, engines))));
    }

    /**
     * Counts one load that a previous incarnation of this process may have started.
     *
     * <p>Failure: all processes restart, and none knows which loads were started before. Symptom: within one window
     * engines use their shares twice, which exceeds the limit. One assumed load suffices for an engine whose share is
     * one load a window, which is the case where there are about as many engines as allowed loads.
     *
     * @param nowMillis the monotonic time of the start.
     */
    public void assumeRecentLoad(long nowMillis) {
        assumedLoadMillis = OptionalLong.of(nowMillis);
    }

    /** Stops counting the load that was assumed for the previous incarnation. */
    void dropAssumedLoad() {
        assumedLoadMillis = OptionalLong.empty();
    }

    /**
     * Records the start of a load.
     *
     * @param nowMillis the current monotonic time.
     */
    public void recordLoad(long nowMillis) {
        loadStartsMillis.add(nowMillis);
    }

    /**
     * Returns the number of loads that started here within the window.
     *
     * @param nowMillis the current monotonic time.
     * @return the number of loads.
     */
    public int recentLoads(long nowMillis) {
        while (!loadStartsMillis.isEmpty() && nowMillis - loadStartsMillis.peek() > windowMillis) {
            loadStartsMillis.poll();
        }
        boolean isAssumed = assumedLoadMillis.isPresent() && nowMillis - assumedLoadMillis.getAsLong() <= windowMillis;
        return loadStartsMillis.size() + (isAssumed ? 1 : 0);
    }

    /**
     * The number of loads that may start within one window.
     *
     * @param total the limit across all engines.
     * @param perEngine the limit for one engine.
     */
    public record Limit(double total, int perEngine) {

        /** The share of the limit available to models with low demand; the rest is reserved for busy ones. */
        private static final double LOW_GAIN_SHARE = 0.6;

        private static final double HIGH_GAIN_PER_SECOND = 1.0;

        /**
         * Returns whether a load may start.
         *
         * @param engineLoads loads that the engine started within the window.
         * @param totalLoads loads that all engines started within the window.
         * @param gainPerSecond requests a second that the load would serve.
         * @return whether the load stays within the limit.
         */
        boolean allows(int engineLoads, int totalLoads, double gainPerSecond) {
            double limit = gainPerSecond >= HIGH_GAIN_PER_SECOND ? total : total * LOW_GAIN_SHARE;
            return engineLoads < perEngine && totalLoads + 1 <= limit;
        }
    }
}
