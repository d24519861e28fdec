package io.waxwingquay.residency;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * Counts loads from the weight store that began here, and tells how many may. Loads have a ceiling over all engines in a
 * sliding window; each process takes its part by the number of engines, so that it holds with the platform's store away
 * too, and looks at what the others told besides.
 */
public final class WeightLoadLimiter {

    /** The bounds count a few loads beyond the rate; this one is left to views that differ. */
    private static final double RESERVED_LOADS = 1.0;

    private static final double BURST_LOADS = 3.0;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final long windowMillis;
    private final double burstFactor;
    private final Deque<Long> loadStartsMillis = new ArrayDeque<>();
    private OptionalLong assumedLoadMillis = OptionalLong.empty();

    /**
     * A pace.
     *
     * @param windowMillis the window in which loads are counted.
     * @param burstFactor how far over the rate they may go in one window, as a factor.
     */
    public WeightLoadLimiter(long windowMillis, double burstFactor) {
        this.windowMillis = windowMillis;
        this.burstFactor = burstFactor;
    }

    /**
     * The ceiling over all engines.
     *
     * @param loadsPerSecond the rate over all engines.
     * @param engines how many engines there are.
     * @return the ceiling for one window.
     */
    public Limit limit(double loadsPerSecond, int engines) {
        double totalLoads =
                loadsPerSecond * windowMillis / MILLIS_PER_SECOND * burstFactor + BURST_LOADS - RESERVED_LOADS;
        return new Limit(totalLoads, Math.max(1, (int) Math.floor(totalLoads / Math.max(1, engines))));
    }

    /**
     * Counts the load that an earlier process here may just have begun.
     *
     * <p>Failure: all processes start again, and none knows what was begun before. Symptom: within one window engines load
     * their parts twice, which is over the ceiling. One load covers an engine whose part is one in a window, as where there
     * are about as many engines as loads allowed.
     *
     * @param nowMillis the steady time of the start.
     */
    public void assumeRecentLoad(long nowMillis) {
        assumedLoadMillis = OptionalLong.of(nowMillis);
    }

    /** Counts no load that was not begun here. */
    void dropAssumedLoad() {
        assumedLoadMillis = OptionalLong.empty();
    }

    /**
     * Notes a load.
     *
     * @param nowMillis the steady time.
     */
    public void recordLoad(long nowMillis) {
        loadStartsMillis.add(nowMillis);
    }

    /**
     * Loads that began here within the window.
     *
     * @param nowMillis the steady time.
     * @return their number.
     */
    public int recentLoads(long nowMillis) {
        while (!loadStartsMillis.isEmpty() && nowMillis - loadStartsMillis.peek() > windowMillis) {
            loadStartsMillis.poll();
        }
        boolean isAssumed = assumedLoadMillis.isPresent() && nowMillis - assumedLoadMillis.getAsLong() <= windowMillis;
        return loadStartsMillis.size() + (isAssumed ? 1 : 0);
    }

    /**
     * How many loads may begin within one window.
     *
     * @param total over all engines.
     * @param perEngine at one engine.
     */
    public record Limit(double total, int perEngine) {

        /** Models that few ask for leave this part of the ceiling to busy ones. */
        private static final double LOW_GAIN_SHARE = 0.6;

        private static final double HIGH_GAIN_PER_SECOND = 1.0;

        /**
         * Whether a load may begin.
         *
         * @param engineLoads loads that began at that engine within the window.
         * @param totalLoads loads that began at all engines.
         * @param gainPerSecond requests a second that the load serves.
         * @return whether it stays below the ceiling.
         */
        boolean allows(int engineLoads, int totalLoads, double gainPerSecond) {
            double limit = gainPerSecond >= HIGH_GAIN_PER_SECOND ? total : total * LOW_GAIN_SHARE;
            return engineLoads < perEngine && totalLoads + 1 <= limit;
        }
    }
}
