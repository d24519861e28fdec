package io.waxwingquay.reservation;

/** The decision about a request for a slot. */
public sealed interface SlotDecision {

    /** The request may be sent now. */
    record Granted() implements SlotDecision {}

    /**
     * The request waits.
     *
     * @param waitMillis the expected wait.
     */
    record Queued(long waitMillis) implements SlotDecision {}

    /**
     * The request is not expected to get a slot in its time.
     *
     * @param retryAfterMillis when there is expected to be a slot for it.
     * @param reason why it was denied.
     */
    record Denied(long retryAfterMillis, Reason reason) implements SlotDecision {}

    /** The reason of a denial. */
    enum Reason {
        /** No slot in time. */
        ROOM,
        /** The prompts before it can't be read in time without long pauses of running streams. */
        PROMPTS,
        /** Its adapter can't be loaded in time. */
        ADAPTER,
        /** The engine does not hold its model. */
        MODEL,
        /** The engine is about to leave, or was lost. */
        LEAVING
    }
}
