package io.waxwingquay.entry;

/**
 * The entry process cannot start.
 */
public final class EntryException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * A failure.
     *
     * @param message what failed.
     * @param cause the failure below.
     */
    public EntryException(String message, Throwable cause) {
        super(message, cause);
    }
}
