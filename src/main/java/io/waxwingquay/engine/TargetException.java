package io.waxwingquay.engine;

/**
 * Signals that a call from a side process to its target failed.
 */
public final class TargetException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param kind whether the call may have run.
     * @param message what failed, with the name of the target.
     * @param cause the cause, or {@code null}.
     */
    public TargetException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /**
     * Returns whether the call may have run.
     *
     * @return the kind of the failure.
     */
    public Kind kind() {
        return kind;
    }

    /** Kinds of failures, by whether the target may have run the call. */
    public enum Kind {
        /** The target was not reached: the call did not run. */
        UNREACHABLE,
        /** The connection broke or timed out after the call was sent: the call may have run. */
        LOST,
        /** The target rejected the call and will not run it. */
        REFUSED
    }
}
