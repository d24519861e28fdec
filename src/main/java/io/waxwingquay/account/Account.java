package io.waxwingquay.account;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A client account.
 *
 * @param name its name, which replicas are told.
 * @param keys the keys that identify it.
 * @param priority the priority class of its requests, which goes before that of their routes; 0 is the highest.
 * @param quota what it may spend; empty if that is not limited.
 */
public record Account(String name, Set<AccessKey> keys, OptionalInt priority, Optional<Quota> quota) {

    /** Copies the keys. */
    public Account {
        keys = Set.copyOf(keys);
    }

    /**
     * Returns what a request spends of the quota.
     *
     * @param inputTokens tokens of its prompt.
     * @param outputTokens the most tokens that it generates.
     * @return the units; 0 if nothing is limited.
     */
    public long units(long inputTokens, long outputTokens) {
        return quota.map(limit -> limit.units(inputTokens, outputTokens)).orElse(0L);
    }
}
