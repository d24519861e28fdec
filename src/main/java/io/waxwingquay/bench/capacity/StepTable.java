package io.waxwingquay.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;

/**
 * A cost measured at rising sizes.
 *
 * @param costLabel what was measured, with its unit.
 * @param sizeLabel what was raised.
 * @param steps the measurements.
 */
public record StepTable(String costLabel, String sizeLabel, List<Step> steps) {

    /**
     * Measures a cost at each size.
     *
     * @param cost what is measured, with its unit.
     * @param size what is raised.
     * @param sizes the sizes, rising.
     * @param measure gives the cost at a size.
     * @return the table.
     */
    public static StepTable measure(String cost, String size, List<Integer> sizes, DoubleUnaryOperator measure) {
        List<Step> steps = new ArrayList<>();
        sizes.forEach(at -> steps.add(new Step(at, measure.applyAsDouble(at))));
        return new StepTable(cost, size, List.copyOf(steps));
    }

    /**
     * The line through the steps.
     *
     * @return the fit over the size as it is.
     */
    public LeastSquares fittedLine() {
        return LeastSquares.fit(steps);
    }

    /**
     * The table, the line through it and the line's error.
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
