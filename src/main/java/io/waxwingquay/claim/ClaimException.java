package io.waxwingquay.claim;

/**
 * Thrown when a claim could not be written or read. No attempt was submitted because of it.
 */
public final class ClaimException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what failed, naming the claim.
     * @param cause the underlying failure.
     */
    public ClaimException(String message, Throwable cause) {
        super(message, cause);
    }
}
