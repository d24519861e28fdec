package io.waxwingquay.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;

/**
 * A cost measured at rising sizes.
 *
 * @param costLabel description of the measured cost, with its unit.
 * @param sizeLabel description of the size that rises.
 * @param steps the measurements.
 */
public record StepTable(String costLabel, String sizeLabel, List<Step> steps) {

    /**
     * Measures a cost at each size.
     *
     * @param cost description of the measured cost, with its unit.
     * @param size description of the size that rises.
     * @param sizes the sizes, in rising order.
     * @param measure measures the cost at a size.
     * @return the table.
     */
    public static StepTable measure(String cost, String size, List<Integer> sizes, DoubleUnaryOperator measure) {
        List<Step> steps = new ArrayList<>();
        sizes.forEach(each -> steps.add(new Step(each, measure.applyAsDouble(each))));
        return new StepTable(cost, size, List.copyOf(steps));
    }

    /**
     * Returns the line fitted to the measurements.
     *
     * @return the line over the unscaled size.
     */
    public LeastSquares fittedLine() {
        return LeastSquares.fit(steps);
    }

    /**
     * Returns the table, the line fitted to it and the error of the line.
     *
     * @return lines of Markdown.
     */
    public String toMarkdown() {
        StringBuilder text = new StringBuilder("\n| %s | %s |\n|---|---|\n".formatted(sizeLabel, costLabel));
        steps.forEach(step -> text.append(String.format(Locale.ROOT, "| %.0f | %.4g |%n", step.size(), step.cost())));
        return text.append('\n').append(fittedLine()).append('\n').toString();
    }

    /**
     * One measurement.
     *
     * @param size the size.
     * @param cost the cost at that size.
     */
    public record Step(double size, double cost) {}
}
