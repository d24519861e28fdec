package io.waxwingquay.forward;

/**
 * The figures of a forwarder.
 *
 * @param zone its data centre.
 * @param retryRatio retries allowed for each request, over all entries.
 * @param retryBurst retries allowed besides, over all entries and one window.
 * @param assumedEntryCount how many entries share the budget and the replicas' connections, until it is known.
 */
public record ForwardSettings(String zone, double retryRatio, double retryBurst, int assumedEntryCount) {}
