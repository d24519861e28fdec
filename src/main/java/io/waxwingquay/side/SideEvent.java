package io.waxwingquay.side;

/**
 * What moves a side process from one {@link io.waxwingquay.transport.generated.SideState} to the next.
 * {@code charts/side.chart} has the moves.
 */
public enum SideEvent {
    /** Its target answers, and its memory is known. */
    READY,
    /** It was told to leave, or was replaced. */
    LEAVE,
    /** All that was in flight has ended. */
    DRAINED;

    /** The name of the chart. */
    public static final String CHART_NAME = "side";
}
