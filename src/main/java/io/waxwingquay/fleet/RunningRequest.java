package io.waxwingquay.fleet;

/**
 * A request that an engine runs, as its report lists it.
 *
 * @param attemptId the id of the attempt.
 * @param memoryTokens the key-value cache that it occupies, in tokens.
 * @param events the events that it has produced.
 * @param priority its priority in the engine, 0 first.
 */
public record RunningRequest(String attemptId, long memoryTokens, long events, int priority) {}
