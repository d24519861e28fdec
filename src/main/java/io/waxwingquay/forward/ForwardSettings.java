package io.waxwingquay.forward;

/**
 * The settings of a forwarder.
 *
 * @param zone its data centre.
 * @param retryRatio retries allowed per request, over all entries.
 * @param retryBurst retries allowed in addition, over all entries and one window.
 * @param assumedEntryCount the number of entries assumed to share the retry budget and the connections of replicas,
 *     until the actual number is known.
 */
public record ForwardSettings(String zone, double retryRatio, double retryBurst, int assumedEntryCount) {}
