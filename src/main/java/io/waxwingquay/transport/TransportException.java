package io.waxwingquay.transport;

/**
 * A failure between two of the system's processes.
 */
public final class TransportException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean maybeDelivered;

    /**
     * A failure.
     *
     * @param delivered whether the call may have reached the other process.
     * @param message what failed, naming the address.
     * @param cause the failure below, or {@code null}.
     */
    public TransportException(boolean delivered, String message, Throwable cause) {
        super(message, cause);
        this.maybeDelivered = delivered;
    }

    /**
     * Whether the call may have reached the other process. False is certain: it did not.
     *
     * @return whether it may have been delivered.
     */
    public boolean mayHaveBeenDelivered() {
        return maybeDelivered;
    }
}
