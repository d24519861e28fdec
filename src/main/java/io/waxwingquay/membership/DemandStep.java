package io.waxwingquay.membership;

/**
 * Demand as it is published: in steps of a factor of the square root of two, so that a small change of demand is no
 * news to spread.
 */
public final class DemandStep {

    private static final int MAX_STEP = 60;
    private static final double STEPS_PER_DOUBLING = 2.0;

    private DemandStep() {}

    /**
     * The step of a demand.
     *
     * @param unitsPerSecond requests a second.
     * @return 0 for none, else 1 + floor(2 log2(units/s)) within 1 to 60.
     */
    public static int of(double unitsPerSecond) {
        if (!(unitsPerSecond > 0)) {
            return 0;
        }
        double steps = STEPS_PER_DOUBLING * Math.log(unitsPerSecond) / Math.log(2);
        return (int) Math.max(1, Math.min(MAX_STEP, 1 + Math.floor(steps)));
    }

    /**
     * The middle of a step's range.
     *
     * @param step the step.
     * @return requests a second; 0 for step 0.
     */
    public static double unitsPerSecond(int step) {
        return step <= 0 ? 0 : Math.pow(2, (step - 1 + 1 / STEPS_PER_DOUBLING) / STEPS_PER_DOUBLING);
    }
}
