package io.waxwingquay.residency;

import io.waxwingquay.fleet.EngineReport;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Polls one engine for its state and issues orders to it. All futures complete on the loop. */
public interface EngineControl {

    /**
     * Polls the engine for its state.
     *
     * @return the current state; fails if the engine does not answer.
     */
    CompletableFuture<EngineReport> report();

    /**
     * Asks for the id of the replica that is reached now.
     *
     * @return the id; fails if the engine does not name it.
     */
    CompletableFuture<String> identify();

    /**
     * Issues an order.
     *
     * @param order the order.
     * @param replicaId the only replica that may execute the order; empty for whichever is reached, also when the order
     *     is executed late.
     * @return the engine's answer, {@link Answer#UNKNOWN} if there is none: the order may still be executed.
     */
    CompletableFuture<Answer> issue(Order order, Optional<String> replicaId);

    /** The answer of an engine to an order. */
    enum Answer {
        /** The engine has accepted the order and is executing it. */
        TAKEN,
        /** The requested state holds already. */
        HOLDS,
        /** Another order is being executed, or an order that this process does not know of was accepted before. */
        CONFLICT,
        /** The engine has refused the order. */
        REFUSED,
        /** There was no answer: the order may have been accepted, or may be executed later. */
        UNKNOWN
    }

    /**
     * An order to load or unload a model or an adapter.
     *
     * @param load whether to load; otherwise to unload.
     * @param model the model.
     * @param adapter the adapter of that model, if the order is for one.
     * @param expectedOrdersTaken precondition of the order: the exact number of orders that the engine has accepted
     *     before.
     */
    record Order(boolean load, String model, Optional<String> adapter, long expectedOrdersTaken) {

        /** Returns the order in a short form for logs. */
        String toText() {
            String item = adapter.map(name -> model + "/" + name).orElse(model);
            return (load ? "load " : "unload ") + item + " after " + expectedOrdersTaken;
        }
    }
}
