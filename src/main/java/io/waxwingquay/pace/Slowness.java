package io.waxwingquay.pace;

import java.util.ArrayDeque;
import java.util.Deque;

/** Tells how much slower an engine is than it usually was in the last minute. */
final class Slowness {

    private static final long HISTORY_MILLIS = 60_000L;

    /** Time between two remembered values, which bounds their number. */
    private static final long SAMPLE_MILLIS = 500L;

    /** Factor above the usual time from which an engine counts as slow. */
    private static final double SLOW_FACTOR = 2.0;

    /** The fewest slots, as a share of the configured ones. */
    private static final int MAX_REDUCTION = 4;

    private final Deque<Level> history = new ArrayDeque<>();
    private double factor = 1.0;

    /**
     * Takes the learned time for one event.
     *
     * @param eventMillis the time, for a batch that is always the same.
     * @param nowMillis the monotonic time.
     */
    void observe(double eventMillis, long nowMillis) {
        if (history.isEmpty() || nowMillis - history.peekLast().atMillis >= SAMPLE_MILLIS) {
            history.add(new Level(nowMillis, eventMillis));
        }
        expire(nowMillis);
        factor = eventMillis / median();
    }

    /**
     * Forgets what is older than the history; without any history left the engine does not count as slow.
     *
     * @param nowMillis the monotonic time.
     */
    void expire(long nowMillis) {
        while (!history.isEmpty() && nowMillis - history.peek().atMillis > HISTORY_MILLIS) {
            history.remove();
        }
        factor = history.isEmpty() ? 1.0 : factor;
    }

    private double median() {
        double[] sorted =
                history.stream().mapToDouble(Level::eventMillis).sorted().toArray();
        return sorted[sorted.length / 2];
    }

    /**
     * Returns how many requests the engine can run at once at its present speed.
     *
     * @param slots requests that it runs at once by its configuration.
     * @return that number, or fewer if it is slow; at least 1.
     */
    int effectiveSlots(int slots) {
        if (factor <= SLOW_FACTOR) {
            return slots;
        }
        double fewest = (double) slots / MAX_REDUCTION;
        return (int) Math.max(1, Math.ceil(Math.max(fewest, slots / factor)));
    }

    private record Level(long atMillis, double eventMillis) {}
}
