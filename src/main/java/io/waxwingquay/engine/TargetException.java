package io.waxwingquay.engine;

/**
 * A failure between a side process and its target.
 */
public final class TargetException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /**
     * A failure.
     *
     * @param kind what is known of the call.
     * @param message what failed, naming the element.
     * @param cause the failure below, or {@code null}.
     */
    public TargetException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /**
     * What is known of the call.
     *
     * @return the kind.
     */
    public Kind kind() {
        return kind;
    }

    /** What is known of a failed call. */
    public enum Kind {
        /** The target was never reached: the call did not run. */
        UNREACHABLE,
        /** The connection broke or went silent after the call was sent: it may have run. */
        LOST,
        /** The target answered that it will not run the call. */
        REFUSED
    }
}
