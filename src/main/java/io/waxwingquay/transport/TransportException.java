package io.waxwingquay.transport;

/**
 * A failed call between two processes of the system.
 */
public final class TransportException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean maybeDelivered;

    /**
     * Creates an exception.
     *
     * @param maybeDelivered whether the call may have reached the other process.
     * @param message what failed, naming the address.
     * @param cause the underlying failure, or {@code null}.
     */
    public TransportException(boolean maybeDelivered, String message, Throwable cause) {
        super(message, cause);
        this.maybeDelivered = maybeDelivered;
    }

    /**
     * Checks whether the call may have reached the other process.
     *
     * @return {@code false} only if the call certainly did not reach it.
     */
    public boolean mayHaveBeenDelivered() {
        return maybeDelivered;
    }
}
