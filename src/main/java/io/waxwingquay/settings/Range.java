package io.waxwingquay.settings;

/**
 * The range of values that a number may have.
 *
 * @param low the lowest value allowed.
 * @param high the highest value allowed.
 * @param unit the unit or the meaning of the number, in words.
 */
public record Range(long low, long high, String unit) {

    /** The range of TCP ports; 0 lets the operating system choose one. */
    public static final Range PORT = new Range(0, 65_535, "TCP port");

    /**
     * Returns whether a value is allowed.
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
