package io.waxwingquay.net;

/**
 * The limits on requests and connections of callers.
 *
 * @param maxHeaderBytes the maximum size of a request head.
 * @param maxBodyBytes the maximum size of a request body.
 * @param headerTimeoutMillis how long it may take to receive a request after its first byte.
 * @param idleTimeoutMillis how long a connection may stay open without a request.
 */
public record ServerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /**
     * Defaults for limits that the operator does not set; generous, as a well-behaved caller must not be
     * disconnected.
     */
    public static final ServerLimits DEFAULT = new ServerLimits(32_768, 16 * 1024 * 1024, 60_000L, 120_000L);
}
