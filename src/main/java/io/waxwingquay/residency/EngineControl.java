package io.waxwingquay.residency;

import io.waxwingquay.fleet.EngineReport;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Asks one engine for its state and gives it orders. All futures complete on the loop.
 */
public interface EngineControl {

    /**
     * Asks for the engine's state.
     *
     * @return the state as of now; fails if there is no answer.
     */
    CompletableFuture<EngineReport> report();

    /**
     * Gives an order.
     *
     * @param order the order.
     * @return what the engine answered, {@link Answer#UNKNOWN} if nothing: the order may still be carried out.
     */
    CompletableFuture<Answer> issue(Order order);

    /** What an engine answers to an order. */
    enum Answer {
        /** It is being carried out. */
        TAKEN,
        /** What it asks for holds already. */
        HOLDS,
        /** Another order is under way, or one that this process does not know of came before. */
        CONFLICT,
        /** It was refused. */
        REFUSED,
        /** No answer: it may have been taken, or may be carried out later. */
        UNKNOWN
    }

    /**
     * An order.
     *
     * @param load whether to load; else to unload.
     * @param model the model.
     * @param adapter the adapter of that model, if it is about one.
     * @param expectedOrdersTaken the number of orders that the engine must have taken before, and no more.
     */
    record Order(boolean load, String model, Optional<String> adapter, long expectedOrdersTaken) {}
}
