package io.waxwingquay.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;

/** Draws Poisson arrivals whose rate changes over time, by thinning. */
final class ArrivalStream {

    private static final double SECOND_MICROS = 1_000_000.0;

    private final RandomGenerator random;
    private final double seconds;

    ArrivalStream(RandomGenerator random, double seconds) {
        this.random = random;
        this.seconds = seconds;
    }

    /**
     * Draws one stream.
     *
     * @param peakPerSecond at least the rate at any time.
     * @param perSecond the rate at a time in seconds.
     * @param request makes the request that is sent at a time in microseconds.
     */
    List<Arrival> draw(double peakPerSecond, DoubleUnaryOperator perSecond, LongFunction<Arrival> request) {
        List<Arrival> arrivals = new ArrayList<>();
        double at = 0;
        while (true) {
            at -= Math.log(1.0 - random.nextDouble()) / peakPerSecond;
            if (at >= seconds) {
                return arrivals;
            }
            if (random.nextDouble() * peakPerSecond < perSecond.applyAsDouble(at)) {
                arrivals.add(request.apply(Math.round(at * SECOND_MICROS)));
            }
        }
    }
}
