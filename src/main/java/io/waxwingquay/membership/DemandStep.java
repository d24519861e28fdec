package io.waxwingquay.membership;

/**
 * The quantised form in which demand is published. Steps grow by a factor of the square root of two, so that a small
 * change in demand does not change the record and is not gossiped.
 */
public final class DemandStep {

    private static final int MAX_STEP = 60;
    private static final double STEPS_PER_DOUBLING = 2.0;

    private DemandStep() {}

    /**
     * Quantises a demand.
     *
     * @param unitsPerSecond the demand in requests per second.
     * @return 0 for no demand, otherwise 1 + floor(2 log2(units/s)) clamped to 1 to 60.
     */
    public static int of(double unitsPerSecond) {
        if (!(unitsPerSecond > 0)) {
            return 0;
        }
        double steps = STEPS_PER_DOUBLING * Math.log(unitsPerSecond) / Math.log(2);
        return (int) Math.max(1, Math.min(MAX_STEP, 1 + Math.floor(steps)));
    }

    /**
     * Returns the geometric middle of a step's range.
     *
     * @param step the step.
     * @return the demand in requests per second; 0 for step 0.
     */
    public static double unitsPerSecond(int step) {
        return step <= 0 ? 0 : Math.pow(2, (step - 1 + 1 / STEPS_PER_DOUBLING) / STEPS_PER_DOUBLING);
    }
}
