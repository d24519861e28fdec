package io.waxwingquay.forward;

import io.waxwingquay.account.QuotaTolerance;

/**
 * The settings of a forwarder.
 *
 * @param zone its data centre.
 * @param retryRatio retries allowed per request, over all entries.
 * @param retryBurst retries allowed in addition, over all entries and one window.
 * @param assumedEntryCount the number of entries assumed to share the retry budget and the connections of replicas,
 *     until the actual number is known.
 * @param quotaTolerance how far all entries together may exceed the quota of a client account.
 */
public record ForwardSettings(
        String zone, double retryRatio, double retryBurst, int assumedEntryCount, QuotaTolerance quotaTolerance) {}
