package io.waxwingquay.engine;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * A model engine, as its side process drives it. All futures fail with {@link TargetException}.
 */
public interface ModelEngine {

    /**
     * Starts or resumes a generation and streams it.
     *
     * @param generation what to generate; its id makes a repeated start resume rather than run again.
     * @param fromOffset the first token wanted.
     * @param listener receives tokens in the engine's order, then exactly one end.
     * @return a handle that stops listening when closed; it does not cancel the generation.
     */
    AutoCloseable stream(Generation generation, long fromOffset, Listener listener);

    /**
     * Cancels a generation; an unknown one is ignored.
     *
     * @param generationId the generation.
     * @return completes when the engine has confirmed.
     */
    CompletableFuture<Void> cancel(String generationId);

    /**
     * Sends an order to load or evict. Completion says that the engine took the order, not that it is done.
     *
     * @param order the order.
     * @return whether it was taken; a fenced engine refuses an old fencing number.
     */
    CompletableFuture<OrderAnswer> order(Order order);

    /**
     * Reads which items the engine holds and which orders it has open.
     *
     * @return the residency as of now.
     */
    CompletableFuture<Residency> residency();

    /**
     * Reads the engine's load report, which lags.
     *
     * @return the report.
     */
    CompletableFuture<EngineLoad> loadReport();

    /**
     * A generation.
     *
     * @param id unique identifier of the attempt.
     * @param model the model version's item name.
     * @param adapter the adapter version's item name, if any.
     * @param prompt the prompt.
     * @param maxTokens the most tokens wanted.
     * @param priority a higher one goes first.
     */
    record Generation(String id, String model, Optional<String> adapter, String prompt, int maxTokens, int priority) {}

    /** What an order does. */
    enum OrderKind {
        /** Load an item from the weight store. */
        LOAD,
        /** Remove an item from memory. */
        EVICT
    }

    /**
     * An order to the engine.
     *
     * @param id unique identifier; a repeated order with the same id is taken once.
     * @param kind load or evict.
     * @param item the item's name.
     * @param bytes the memory the item takes.
     * @param fence the fencing number of the side process.
     */
    record Order(String id, OrderKind kind, String item, long bytes, long fence) {}

    /** The engine's answer to an order. */
    enum OrderAnswer {
        /** The order was taken and will take effect. */
        TAKEN,
        /** The order carried a fencing number older than the newest the engine has seen. */
        STALE_FENCE
    }

    /**
     * What an engine holds.
     *
     * @param bootId changes whenever the engine restarts and so has lost its memory.
     * @param capacityBytes the accelerator memory.
     * @param residents items in memory.
     * @param openOrders orders taken and not yet done.
     */
    record Residency(String bootId, long capacityBytes, List<Resident> residents, List<Order> openOrders) {}

    /**
     * One item in memory.
     *
     * @param item the item's name.
     * @param bytes the memory it takes.
     */
    record Resident(String item, long bytes) {}

    /**
     * An engine's load report.
     *
     * @param running generations in the batch.
     * @param queued generations waiting.
     * @param queuedTokens tokens still to generate for all of them.
     * @param tokensPerSecond recent speed of the whole batch.
     * @param ageMillis age of the report.
     */
    record EngineLoad(int running, int queued, long queuedTokens, double tokensPerSecond, long ageMillis) {}

    /** Receives a stream. Methods are called from one thread at a time. */
    interface Listener {

        /**
         * One token.
         *
         * @param offset position of the token, from 0.
         * @param text the token's text.
         */
        void onToken(long offset, String text);

        /**
         * The end of the stream.
         *
         * @param totalTokens the whole answer's length if the engine finished it, else empty.
         * @param failure why it ended early, if it did.
         */
        void onEnd(OptionalLong totalTokens, Optional<TargetException> failure);
    }
}
