package io.waxwingquay.residency;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Keeps loads from the weight store below the ceiling that all engines share. Each process takes its part of the
 * ceiling by the number of engines, so that it holds with the platform's store away too.
 */
public final class LoadPace {

    /** The bounds count a few loads beyond the rate; this one is left to views that differ. */
    private static final double KEPT_BACK = 1.0;

    private static final double EXTRA_LOADS = 3.0;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final long windowMillis;
    private final double excess;
    private final Deque<Long> begunMillis = new ArrayDeque<>();

    /**
     * A pace.
     *
     * @param windowMillis the window in which loads are counted.
     * @param excess how far over the rate they may go in one window, as a factor.
     */
    public LoadPace(long windowMillis, double excess) {
        this.windowMillis = windowMillis;
        this.excess = excess;
    }

    /**
     * Whether a load may begin.
     *
     * @param loadsPerSecond the rate over all engines.
     * @param engines how many engines there are.
     * @param othersBegun loads that other processes told of within the window.
     * @param nowMillis the steady time.
     * @return whether it stays below the ceiling.
     */
    public boolean allows(double loadsPerSecond, int engines, int othersBegun, long nowMillis) {
        forget(nowMillis);
        double ceiling = loadsPerSecond * windowMillis / MILLIS_PER_SECOND * excess + EXTRA_LOADS - KEPT_BACK;
        double own = Math.max(1, Math.floor(ceiling / Math.max(1, engines)));
        return begunMillis.size() < own && begunMillis.size() + othersBegun + 1 <= ceiling;
    }

    /**
     * Notes a load.
     *
     * @param nowMillis the steady time.
     */
    public void began(long nowMillis) {
        begunMillis.add(nowMillis);
    }

    /**
     * Loads that began here within the window.
     *
     * @param nowMillis the steady time.
     * @return their number.
     */
    public int recent(long nowMillis) {
        forget(nowMillis);
        return begunMillis.size();
    }

    private void forget(long nowMillis) {
        while (!begunMillis.isEmpty() && nowMillis - begunMillis.peek() > windowMillis) {
            begunMillis.poll();
        }
    }
}
