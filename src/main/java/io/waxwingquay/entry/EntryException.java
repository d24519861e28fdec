package io.waxwingquay.entry;

/**
 * Signals that an entry process cannot start.
 */
public final class EntryException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what failed.
     * @param cause the cause.
     */
    public EntryException(String message, Throwable cause) {
        super(message, cause);
    }
}
