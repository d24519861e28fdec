package io.waxwingquay.claim;

/**
 * A claim could not be written or read. No attempt was handed on because of it.
 */
public final class ClaimException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * A failure.
     *
     * @param message what failed, naming the claim.
     * @param cause the failure below.
     */
    public ClaimException(String message, Throwable cause) {
        super(message, cause);
    }
}
