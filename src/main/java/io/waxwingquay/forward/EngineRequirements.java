package io.waxwingquay.forward;

import java.util.Optional;

/**
 * What a request requires of an engine.
 *
 * @param model the requested model.
 * @param adapter the requested adapter of that model.
 * @param kvTokens the key-value cache that it is expected to take, in tokens; 0 if that is unknown.
 * @param durationMillis how long requests for the model usually run in an engine.
 */
record EngineRequirements(String model, Optional<String> adapter, long kvTokens, double durationMillis) {

    /** Share of the maximum number of output tokens that answers usually have. */
    private static final double EXPECTED_OUTPUT_SHARE = 0.5;

    /** Returns the requirements of a request that names a model. */
    static EngineRequirements of(MessageCodec.RequestHead head, DemandMeter demand) {
        String model = head.model().orElseThrow();
        return new EngineRequirements(model, head.adapter(), kvTokens(head), demand.durationMillis(model));
    }

    /** Returns the key-value cache that a request is expected to take, in tokens: its prompt and the usual output. */
    static long kvTokens(MessageCodec.RequestHead head) {
        return head.inputTokens() + Math.round(EXPECTED_OUTPUT_SHARE * head.maxOutputTokens());
    }
}
