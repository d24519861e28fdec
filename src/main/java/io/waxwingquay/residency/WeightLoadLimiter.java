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
    private static final double KEPT_BACK = 1.0;

    private static final double EXTRA_LOADS = 3.0;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final long windowMillis;
    private final double excess;
    private final Deque<Long> begunMillis = new ArrayDeque<>();
    private OptionalLong assumedMillis = OptionalLong.empty();

    /**
     * A pace.
     *
     * @param windowMillis the window in which loads are counted.
     * @param excess how far over the rate they may go in one window, as a factor.
     */
    public WeightLoadLimiter(long windowMillis, double excess) {
        this.windowMillis = windowMillis;
        this.excess = excess;
    }

    /**
     * The ceiling over all engines.
     *
     * @param loadsPerSecond the rate over all engines.
     * @param engines how many engines there are.
     * @return the ceiling for one window.
     */
    public Ceiling ceiling(double loadsPerSecond, int engines) {
        double all = loadsPerSecond * windowMillis / MILLIS_PER_SECOND * excess + EXTRA_LOADS - KEPT_BACK;
        return new Ceiling(all, Math.max(1, (int) Math.floor(all / Math.max(1, engines))));
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
        assumedMillis = OptionalLong.of(nowMillis);
    }

    /** Counts no load that was not begun here. */
    void forgetAssumed() {
        assumedMillis = OptionalLong.empty();
    }

    /**
     * Notes a load.
     *
     * @param nowMillis the steady time.
     */
    public void recordLoad(long nowMillis) {
        begunMillis.add(nowMillis);
    }

    /**
     * Loads that began here within the window.
     *
     * @param nowMillis the steady time.
     * @return their number.
     */
    public int recentLoads(long nowMillis) {
        while (!begunMillis.isEmpty() && nowMillis - begunMillis.peek() > windowMillis) {
            begunMillis.poll();
        }
        boolean isAssumed = assumedMillis.isPresent() && nowMillis - assumedMillis.getAsLong() <= windowMillis;
        return begunMillis.size() + (isAssumed ? 1 : 0);
    }

    /**
     * How many loads may begin within one window.
     *
     * @param all over all engines.
     * @param each at one engine.
     */
    public record Ceiling(double all, int each) {

        /** Models that few ask for leave this part of the ceiling to busy ones. */
        private static final double RARE_SHARE = 0.6;

        private static final double BUSY_PER_SECOND = 1.0;

        /**
         * Whether a load may begin.
         *
         * @param here loads that began at that engine within the window.
         * @param everywhere loads that began at all engines.
         * @param gainPerSecond requests a second that the load serves.
         * @return whether it stays below the ceiling.
         */
        boolean allows(int here, int everywhere, double gainPerSecond) {
            double limit = gainPerSecond >= BUSY_PER_SECOND ? all : all * RARE_SHARE;
            return here < each && everywhere + 1 <= limit;
        }
    }
}
