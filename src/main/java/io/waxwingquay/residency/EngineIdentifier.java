package io.waxwingquay.residency;

import io.waxwingquay.common.CallbackGuard;
import java.util.function.LongSupplier;

/** Asks an engine for the id of its current incarnation while it is not known. */
final class EngineIdentifier {

    /** The interval at which an engine that has not named its id is asked again. */
    static final long IDENTIFY_MILLIS = 1_000L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.residency");

    private final EngineControl control;
    private final OrderTracker orders;
    private final LongSupplier clock;
    private long identifyAtMillis = Long.MIN_VALUE;

    /**
     * Creates an identifier.
     *
     * @param control asks the engine.
     * @param orders takes the id.
     * @param clock the monotonic time in milliseconds.
     */
    EngineIdentifier(EngineControl control, OrderTracker orders, LongSupplier clock) {
        this.control = control;
        this.orders = orders;
        this.clock = clock;
    }

    /** Has the engine asked without delay, as it restarted. */
    void restarted() {
        identifyAtMillis = Long.MIN_VALUE;
    }

    /** Asks the engine if its id is not known and it was not asked lately. */
    void identify() {
        long nowMillis = clock.getAsLong();
        if (orders.isIdentified() || nowMillis < identifyAtMillis) {
            return;
        }
        identifyAtMillis = nowMillis + IDENTIFY_MILLIS;
        control.identify().whenComplete(CallbackGuard.of("identity of the engine", (id, failure) -> {
            if (failure == null) {
                orders.onIdentified(id);
                LOG.log(System.Logger.Level.INFO, "residency: engine identified id={0}", id);
            } else {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "residency: engine not identified cause={0}",
                        failure.getMessage());
            }
        }));
    }
}
