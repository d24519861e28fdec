package io.waxwingquay.forward;

import io.waxwingquay.common.DecayingSum;
import io.waxwingquay.transport.generated.ModelDemand;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Estimates the demand of callers for each model at this entry. */
final class DemandMeter {

    /**
     * Half-life of the current rate: short enough to follow a shift of demand within seconds, long enough not to follow
     * single requests.
     */
    private static final double FAST_HALF_LIFE_MILLIS = 1_000.0;

    /** Half-life of the rate to which the fast one is compared to tell whether demand rises or falls. */
    private static final double TREND_HALF_LIFE_MILLIS = 3_000.0;

    /**
     * Factor by which the difference between the two rates is extrapolated. They lag by 1.4 and 4.3 s, and a copy
     * requested now serves some 3 s from now, which is 1.5 times the 2.9 s between the two.
     */
    private static final double TREND_FACTOR = 1.5;

    /** Upper bound of the extrapolated rate as a multiple of the current one, as a few requests make a steep rise. */
    private static final double MAX_RISE_FACTOR = 3.0;

    /**
     * Half-life of the slow rate: long enough to tell a model that is requested every few seconds from one that is not
     * requested at all.
     */
    private static final double SLOW_HALF_LIFE_MILLIS = 12_000.0;

    private static final double NEGLIGIBLE_REQUESTS = 0.01;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /**
     * Assumed duration of a request until the first one has ended; the next constant is the weight of the newest in the
     * average.
     */
    private static final double INITIAL_DURATION_MILLIS = 800.0;

    private static final double DURATION_SMOOTHING = 0.05;

    private final Map<String, Demand> byModel = new HashMap<>();

    void requested(String model, long nowMillis) {
        demand(model).requested(nowMillis);
    }

    void started(String model) {
        demand(model).inFlight++;
    }

    void ended(String model, long tookMillis) {
        Demand demand = demand(model);
        demand.inFlight--;
        demand.durationMillis += DURATION_SMOOTHING * (tookMillis - demand.durationMillis);
    }

    /** Returns the smoothed duration of requests for a model from the time that they were sent. */
    double durationMillis(String model) {
        return Optional.ofNullable(byModel.get(model))
                .map(known -> known.durationMillis)
                .orElse(INITIAL_DURATION_MILLIS);
    }

    Map<String, ModelDemand> snapshot(long nowMillis) {
        Map<String, ModelDemand> all = new HashMap<>();
        byModel.entrySet().removeIf(entry -> entry.getValue().isNegligible(nowMillis));
        byModel.forEach((model, demand) -> all.put(model, demand.estimate(nowMillis)));
        return all;
    }

    private Demand demand(String model) {
        return byModel.computeIfAbsent(model, key -> new Demand());
    }

    private static final class Demand {

        private final DecayingSum fastArrivals = new DecayingSum(FAST_HALF_LIFE_MILLIS);
        private final DecayingSum trendArrivals = new DecayingSum(TREND_HALF_LIFE_MILLIS);
        private final DecayingSum slowArrivals = new DecayingSum(SLOW_HALF_LIFE_MILLIS);
        private double durationMillis = INITIAL_DURATION_MILLIS;
        private int inFlight;

        private void requested(long nowMillis) {
            fastArrivals.add(1, nowMillis);
            trendArrivals.add(1, nowMillis);
            slowArrivals.add(1, nowMillis);
        }

        /** Returns the rate expected at the time when a copy requested now has been loaded. */
        private double expectedPerSecond(long nowMillis) {
            double fast = fastArrivals.perSecond(nowMillis);
            double trend = TREND_FACTOR * (fast - trendArrivals.perSecond(nowMillis));
            return Math.min(Math.max(0, fast + trend), MAX_RISE_FACTOR * fast);
        }

        private boolean isNegligible(long nowMillis) {
            return inFlight == 0 && slowArrivals.value(nowMillis) < NEGLIGIBLE_REQUESTS;
        }

        /**
         * Estimates the demand. Rejected requests are not in flight, so they are counted by the time that they would
         * have taken.
         */
        private ModelDemand estimate(long nowMillis) {
            double perSecond = expectedPerSecond(nowMillis);
            double atOnce = Math.max(inFlight, perSecond * durationMillis / MILLIS_PER_SECOND);
            return new ModelDemand(perSecond, atOnce, slowArrivals.perSecond(nowMillis));
        }
    }
}
