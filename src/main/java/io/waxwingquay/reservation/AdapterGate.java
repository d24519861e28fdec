package io.waxwingquay.reservation;

/** Has the adapters loaded that requests for slots need. */
@FunctionalInterface
public interface AdapterGate {

    /** A gate for engines whose adapters are loaded by other means. */
    AdapterGate DISABLED = (model, adapter, nowMillis) -> Readiness.READY;

    /**
     * Returns whether an adapter is loaded, and has it loaded if it is not.
     *
     * @param model its model, which the engine holds.
     * @param adapter the adapter.
     * @param nowMillis the monotonic time.
     * @return whether a request that uses it may be sent.
     */
    Readiness prepare(String model, String adapter, long nowMillis);

    /** Whether an adapter can be used. */
    enum Readiness {
        /** It is loaded. */
        READY,
        /** It is being loaded, or waits for that. */
        LOADING,
        /** It can't be loaded now. */
        UNAVAILABLE
    }
}
