package io.waxwingquay.reservation;

import java.util.Set;

/**
 * What a fresh report tells of an engine.
 *
 * @param bornMillis start time of this incarnation; 0 if unknown.
 * @param accepting whether it takes new requests; not while it is about to leave.
 * @param running requests that it runs.
 * @param waiting requests that are queued in it.
 * @param kvUsedTokens key-value cache that can't be evicted.
 * @param kvTotalTokens the whole key-value cache; 0 if unknown.
 * @param runningAttemptIds the attempts that it runs.
 * @param models the models that requests may be sent for.
 */
public record EngineOccupancy(
        long bornMillis,
        boolean accepting,
        int running,
        int waiting,
        long kvUsedTokens,
        long kvTotalTokens,
        Set<String> runningAttemptIds,
        Set<String> models) {}
