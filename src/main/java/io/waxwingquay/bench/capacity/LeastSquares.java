package io.waxwingquay.bench.capacity;

import java.util.List;
import java.util.Locale;

/**
 * A straight line fitted to measurements by least squares.
 *
 * @param intercept the cost at size 0.
 * @param slope the cost of each further unit of size.
 * @param slopeStandardError the standard error of the slope; not a number for fewer than three measurements.
 * @param maxRelativeError the largest residual of a measurement, as a share of its cost.
 */
public record LeastSquares(double intercept, double slope, double slopeStandardError, double maxRelativeError) {

    private static final double PERCENT = 100.0;

    /**
     * Fits a line to measurements.
     *
     * @param steps at least two measurements at different sizes.
     * @return the line.
     */
    static LeastSquares fit(List<StepTable.Step> steps) {
        double meanSize = mean(steps.stream().mapToDouble(StepTable.Step::size).toArray());
        double meanCost = mean(steps.stream().mapToDouble(StepTable.Step::cost).toArray());
        double sizeSquares = 0;
        double crossProducts = 0;
        for (StepTable.Step step : steps) {
            sizeSquares += (step.size() - meanSize) * (step.size() - meanSize);
            crossProducts += (step.size() - meanSize) * (step.cost() - meanCost);
        }
        double slope = crossProducts / sizeSquares;
        double intercept = meanCost - slope * meanSize;
        double residualSquares = 0;
        double maxRelativeResidual = 0;
        for (StepTable.Step step : steps) {
            double residual = step.cost() - intercept - slope * step.size();
            residualSquares += residual * residual;
            maxRelativeResidual = Math.max(maxRelativeResidual, Math.abs(residual / step.cost()));
        }
        return new LeastSquares(
                intercept, slope, Math.sqrt(residualSquares / (steps.size() - 2) / sizeSquares), maxRelativeResidual);
    }

    /**
     * Returns the cost on the line at a size, which need not have been measured.
     *
     * @param size the size.
     * @return the cost on the line.
     */
    public double costAt(double size) {
        return intercept + slope * size;
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "fit: %.4g + %.4g x size; standard error of the slope %.2g; worst step %.0f%% off the line",
                intercept,
                slope,
                slopeStandardError,
                maxRelativeError * PERCENT);
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum / values.length;
    }
}
