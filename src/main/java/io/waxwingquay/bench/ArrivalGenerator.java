package io.waxwingquay.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;

/** Generates the arrivals of a non-homogeneous Poisson process by thinning. */
final class ArrivalGenerator {

    private static final double MICROS_PER_SECOND = 1_000_000.0;

    private final RandomGenerator random;
    private final double durationSeconds;

    ArrivalGenerator(RandomGenerator random, double seconds) {
        this.random = random;
        this.durationSeconds = seconds;
    }

    /**
     * Generates one sequence of arrivals in order of time.
     *
     * @param peakPerSecond an upper bound of the rate at any time.
     * @param ratePerSecond gives the rate at a time in seconds.
     * @param request creates the request that is sent at a time in microseconds.
     */
    List<Arrival> generate(double peakPerSecond, DoubleUnaryOperator ratePerSecond, LongFunction<Arrival> request) {
        List<Arrival> arrivals = new ArrayList<>();
        double atSeconds = 0;
        while (true) {
            atSeconds -= Math.log(1.0 - random.nextDouble()) / peakPerSecond;
            if (atSeconds >= durationSeconds) {
                return arrivals;
            }
            if (random.nextDouble() * peakPerSecond < ratePerSecond.applyAsDouble(atSeconds)) {
                arrivals.add(request.apply(Math.round(atSeconds * MICROS_PER_SECOND)));
            }
        }
    }
}
