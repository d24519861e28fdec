package io.waxwingquay.forward;

import java.util.Optional;

/**
 * What a request requires of an engine.
 *
 * @param model the requested model.
 * @param adapter the requested adapter of that model.
 * @param kvTokens the key-value cache that it is expected to take, in tokens; 0 if that is unknown.
 * @param durationMillis how long requests for the model usually run in an engine.
 * @param slotUse which engines are asked for slots.
 * @param slotYield which engines are left to others.
 */
record EngineRequirements(
        String model,
        Optional<String> adapter,
        long kvTokens,
        double durationMillis,
        SlotUse slotUse,
        SlotYield slotYield) {

    /** Share of the maximum number of output tokens that answers usually have. */
    private static final double EXPECTED_OUTPUT_SHARE = 0.5;

    /** Requirements of a request that asks for slots wherever they are granted. */
    EngineRequirements(String model, Optional<String> adapter, long kvTokens, double durationMillis) {
        this(model, adapter, kvTokens, durationMillis, new SlotUse.WhereGranted());
    }

    /** Requirements of a request that leaves no engine to others. */
    EngineRequirements(String model, Optional<String> adapter, long kvTokens, double durationMillis, SlotUse slotUse) {
        this(model, adapter, kvTokens, durationMillis, slotUse, new SlotYield.Disabled());
    }

    /** Returns the requirements of a request that names a model. */
    static EngineRequirements of(
            MessageCodec.RequestHead head, DemandMeter demand, SlotUse slotUse, SlotYield slotYield) {
        String model = head.model().orElseThrow();
        return new EngineRequirements(
                model, head.adapter(), kvTokens(head), demand.durationMillis(model), slotUse, slotYield);
    }

    /** Returns the key-value cache that a request is expected to take, in tokens: its prompt and the usual output. */
    static long kvTokens(MessageCodec.RequestHead head) {
        return head.inputTokens() + usualOutputTokens(head);
    }

    /** Returns the key-value cache that a request is expected to take at a replica, by its hint where slots are granted. */
    static long kvTokensAt(Target target, MessageCodec.RequestHead head, long nowMillis) {
        return target.grantsSlots(nowMillis) ? head.inputTokens() + expectedOutputTokens(head) : kvTokens(head);
    }

    /** Returns the output that is expected by the caller's hint, within the stated maximum; without a hint the usual. */
    static long expectedOutputTokens(MessageCodec.RequestHead head) {
        long maxTokens = head.maxOutputTokens() > 0 ? head.maxOutputTokens() : Long.MAX_VALUE;
        return head.lengthHintTokens().isPresent()
                ? Math.min(head.lengthHintTokens().getAsLong(), maxTokens)
                : usualOutputTokens(head);
    }

    private static long usualOutputTokens(MessageCodec.RequestHead head) {
        return Math.round(EXPECTED_OUTPUT_SHARE * head.maxOutputTokens());
    }
}
