package io.waxwingquay.forward;

import java.util.Optional;

/**
 * What a request needs of an engine.
 *
 * @param model the model asked for.
 * @param adapter the adapter of that model asked for.
 * @param tokens memory that it is expected to take; 0 if nothing is known of that.
 * @param durationMillis what requests for the model usually take in an engine.
 */
record EngineNeed(String model, Optional<String> adapter, long tokens, double durationMillis) {

    /** The part of the most tokens to generate that answers usually have. */
    private static final double OUTPUT_SHARE = 0.5;

    /** What a request that names a model needs. */
    static EngineNeed of(MessageCodec.RequestHead ask, DemandMeter demand) {
        String model = ask.model().orElseThrow();
        return new EngineNeed(model, ask.adapter(), tokens(ask), demand.durationMillis(model));
    }

    /** Memory that a request is expected to take: its prompt, and what is usually generated. */
    static long tokens(MessageCodec.RequestHead ask) {
        return ask.inputTokens() + Math.round(OUTPUT_SHARE * ask.maxOutputTokens());
    }
}
