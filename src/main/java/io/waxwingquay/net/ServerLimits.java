package io.waxwingquay.net;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes the longest head of a request.
 * @param maxBodyBytes the longest body.
 * @param headerTimeoutMillis how long a request may take to come in once it has begun.
 * @param idleTimeoutMillis how long a connection may stay without a request.
 */
public record ServerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** For what an operator does not say; wide, as a caller within its limits must not be cut. */
    public static final ServerLimits DEFAULT = new ServerLimits(32_768, 16 * 1024 * 1024, 60_000L, 120_000L);
}
