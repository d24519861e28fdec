package io.waxwingquay.forward;

/**
 * The figures of a forwarder.
 *
 * @param zone its data centre.
 * @param retryShare retries allowed for each request, over all entries.
 * @param retrySlack retries allowed besides, over all entries and one window.
 * @param assumedEntries how many entries share the budget and the replicas' connections, until it is known.
 */
public record ForwardSettings(String zone, double retryShare, double retrySlack, int assumedEntries) {}
