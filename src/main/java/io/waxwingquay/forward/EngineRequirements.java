package io.waxwingquay.forward;

import java.util.Optional;

/**
 * What a request needs of an engine.
 *
 * @param model the model asked for.
 * @param adapter the adapter of that model asked for.
 * @param kvTokens memory that it is expected to take; 0 if nothing is known of that.
 * @param durationMillis what requests for the model usually take in an engine.
 */
record EngineRequirements(String model, Optional<String> adapter, long kvTokens, double durationMillis) {

    /** The part of the most tokens to generate that answers usually have. */
    private static final double EXPECTED_OUTPUT_SHARE = 0.5;

    /** What a request that names a model needs. */
    static EngineRequirements of(MessageCodec.RequestHead head, DemandMeter demand) {
        String model = head.model().orElseThrow();
        return new EngineRequirements(model, head.adapter(), kvTokens(head), demand.durationMillis(model));
    }

    /** Memory that a request is expected to take: its prompt, and what is usually generated. */
    static long kvTokens(MessageCodec.RequestHead head) {
        return head.inputTokens() + Math.round(EXPECTED_OUTPUT_SHARE * head.maxOutputTokens());
    }
}
