package io.waxwingquay.side;

/**
 * An event that changes the {@link io.waxwingquay.transport.generated.SideState} of a side process.
 * {@code charts/side.chart} defines the transitions.
 */
public enum SideEvent {
    /** The target answers, and the contents of its memory are known. */
    READY,
    /** The side was told to leave, or was replaced. */
    LEAVE,
    /** All attempts in flight have ended. */
    DRAINED;

    /** The name of the state chart. */
    public static final String CHART_NAME = "side";
}
