package io.waxwingquay.pace;

/**
 * The time that an engine takes for one event: a base, an addition for each stream, and one for each prompt token that is
 * read meanwhile.
 *
 * <p>The three values are estimated by recursive least squares from a prior. A sample that is further from the expectation
 * than chance explains counts only up to that distance, as preempted requests and requests of unknown prompts give single
 * samples that are far off. Several such samples in a row to the same side are a change of the engine, which is then
 * learned anew.
 */
final class EventTimeModel {

    /** The prior: one event takes 50 ms, further streams cost nothing, and 38 prompt tokens are read in 1 ms. */
    private static final double[] PRIOR = {50.0, 0.0, 1.0 / 38.0};

    /** Standard deviations of the prior: an engine three times as slow is not exceptional. */
    private static final double[] PRIOR_DEVIATION = {50.0, 0.5, 0.02};

    private static final double[] MINIMUM = {1.0, 0.0, 1.0 / 400.0};
    private static final double[] MAXIMUM = {2_000.0, 50.0, 0.5};

    /**
     * Standard deviation of a sample as a share of the event time: with one stream and eight events the coarse count alone
     * gives 0.05, and the time at which prompts are read is known to about one event.
     */
    private static final double SAMPLE_DEVIATION = 0.1;

    /** Standard deviations up to which a sample counts. */
    private static final double MAX_SURPRISE = 3.0;

    /** Samples in a row, far off to the same side, that are taken for a change of the engine. */
    private static final int CHANGE_SAMPLES = 3;

    /** Weight that older samples keep with each new one. */
    private static final double RETENTION = 0.97;

    private final double[] values = PRIOR.clone();
    private final double[][] covariance = new double[PRIOR.length][PRIOR.length];
    private int surprises;

    EventTimeModel() {
        forgetCertainty();
    }

    /**
     * Returns the expected time for one event while no prompt is read.
     *
     * @param batch the streams that produce events at once.
     * @return the time in milliseconds.
     */
    double eventMillis(double batch) {
        return values[0] + values[1] * batch;
    }

    /**
     * Returns the expected time for one prompt token.
     *
     * @return the time in milliseconds; above 0.
     */
    double tokenMillis() {
        return values[2];
    }

    /**
     * Learns from a sample.
     *
     * @param sample what was measured.
     */
    void learn(EventSample sample) {
        if (!Double.isFinite(sample.eventMillis()) || sample.eventMillis() <= 0) {
            return;
        }
        double[] factors = {1.0, sample.batch(), sample.promptTokens()};
        double expectedMillis = dot(values, factors);
        double missMillis = sample.eventMillis() - expectedMillis;
        if (isChange(missMillis, MAX_SURPRISE * deviation(factors, expectedMillis))) {
            forgetCertainty();
        }
        double limitMillis = MAX_SURPRISE * deviation(factors, expectedMillis);
        correct(factors, Math.max(-limitMillis, Math.min(limitMillis, missMillis)), expectedMillis);
    }

    /** Counts samples that are far off to the same side, and returns whether they are enough for a change. */
    private boolean isChange(double missMillis, double limitMillis) {
        if (Math.abs(missMillis) <= limitMillis) {
            surprises = 0;
            return false;
        }
        int side = missMillis > 0 ? 1 : -1;
        surprises = surprises * side > 0 ? surprises + side : side;
        if (Math.abs(surprises) < CHANGE_SAMPLES) {
            return false;
        }
        surprises = 0;
        return true;
    }

    /** Returns the standard deviation of the difference between a sample and its expectation. */
    private double deviation(double[] factors, double expectedMillis) {
        return Math.sqrt(dot(spread(factors), factors) + sampleVariance(expectedMillis));
    }

    private static double sampleVariance(double expectedMillis) {
        return Math.pow(SAMPLE_DEVIATION * expectedMillis, 2);
    }

    private void correct(double[] factors, double missMillis, double expectedMillis) {
        double[] spread = spread(factors);
        double variance = dot(spread, factors) + sampleVariance(expectedMillis);
        for (int row = 0; row < values.length; row++) {
            values[row] =
                    Math.max(MINIMUM[row], Math.min(MAXIMUM[row], values[row] + spread[row] * missMillis / variance));
            for (int column = 0; column < values.length; column++) {
                covariance[row][column] =
                        (covariance[row][column] - spread[row] * spread[column] / variance) / RETENTION;
            }
        }
        limitUncertainty();
    }

    /** Keeps values that the samples don't tell apart from becoming less certain than the prior. */
    private void limitUncertainty() {
        for (int index = 0; index < values.length; index++) {
            double deviation = Math.sqrt(covariance[index][index]);
            if (deviation > PRIOR_DEVIATION[index]) {
                scale(index, PRIOR_DEVIATION[index] / deviation);
            }
        }
    }

    private void scale(int index, double factor) {
        for (int other = 0; other < values.length; other++) {
            covariance[index][other] *= factor;
            covariance[other][index] *= factor;
        }
    }

    private void forgetCertainty() {
        for (int row = 0; row < values.length; row++) {
            for (int column = 0; column < values.length; column++) {
                covariance[row][column] = row == column ? Math.pow(PRIOR_DEVIATION[row], 2) : 0.0;
            }
        }
    }

    private double[] spread(double[] factors) {
        double[] spread = new double[factors.length];
        for (int row = 0; row < factors.length; row++) {
            spread[row] = dot(covariance[row], factors);
        }
        return spread;
    }

    private static double dot(double[] left, double[] right) {
        double sum = 0;
        for (int index = 0; index < left.length; index++) {
            sum += left[index] * right[index];
        }
        return sum;
    }
}
