package io.waxwingquay.forward;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Estimates how long callers have waited before an attempt, from the deadlines that they state. A caller that is refused
 * retries with a new id and what is left of its time; most attempts are first ones, so the median is that of those.
 */
final class CallerAge {

    /** Number of deadlines of a route of which the median is taken. */
    private static final int MAX_SAMPLES = 64;

    /** Share of the median below which a difference is due to the way of the request and not to a wait. */
    private static final double MIN_DIFFERENCE_SHARE = 0.03;

    private final Map<String, Samples> byRoute = new HashMap<>();

    /** Notes the time that a caller states at its arrival; ignored if it states none. */
    void arrived(String route, Optional<Long> remainingMillis) {
        remainingMillis.filter(stated -> stated > 0).ifPresent(stated -> samples(route)
                .add(stated));
    }

    /**
     * Returns how long the caller had waited when its attempt arrived.
     *
     * @param route the name of its route.
     * @param remainingMillis the time that it stated.
     * @return the time in milliseconds; 0 if it waited for none or for an unknown time.
     */
    long ageMillis(String route, Optional<Long> remainingMillis) {
        long medianMillis = samples(route).median();
        long waitedMillis = remainingMillis
                .filter(stated -> stated > 0)
                .map(stated -> medianMillis - stated)
                .orElse(0L);
        return waitedMillis < MIN_DIFFERENCE_SHARE * medianMillis ? 0 : waitedMillis;
    }

    private Samples samples(String route) {
        return byRoute.computeIfAbsent(route, key -> new Samples());
    }

    /** The last deadlines of one route. */
    private static final class Samples {

        private final long[] valuesMillis = new long[MAX_SAMPLES];
        private int count;
        private int next;

        private void add(long millis) {
            valuesMillis[next] = millis;
            next = (next + 1) % MAX_SAMPLES;
            count = Math.min(MAX_SAMPLES, count + 1);
        }

        /** Returns the upper median; 0 without a sample. */
        private long median() {
            long[] sorted = Arrays.copyOf(valuesMillis, count);
            Arrays.sort(sorted);
            return count == 0 ? 0 : sorted[count / 2];
        }
    }
}
