package io.waxwingquay.settings;

/**
 * The values that a number may take.
 *
 * @param low the lowest value allowed.
 * @param high the highest value allowed.
 * @param unit the unit, in words.
 */
public record Range(long low, long high, String unit) {

    /** TCP ports; 0 lets the system choose one. */
    public static final Range PORT = new Range(0, 65_535, "TCP port");

    /**
     * Whether a value is allowed.
     *
     * @param value the value.
     * @return whether it lies within the range.
     */
    public boolean contains(double value) {
        return value >= low && value <= high;
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return low + " to " + high + " " + unit;
    }
}
