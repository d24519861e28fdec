package io.waxwingquay.engine;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Interface of a model engine to its side process. All futures fail with {@link TargetException}.
 */
public interface ModelEngine {

    /**
     * Starts or resumes a generation and streams it.
     *
     * @param generation what to generate; a resend with the same id resumes the generation instead of running it again.
     * @param fromOffset the offset of the first token to send.
     * @param listener receives the tokens in the engine's order, then exactly one end.
     * @return a handle that stops listening when closed; it does not cancel the generation.
     */
    AutoCloseable stream(Generation generation, long fromOffset, Listener listener);

    /**
     * Cancels a generation. An unknown id is ignored.
     *
     * @param generationId the id of the generation.
     * @return a future that completes when the engine has confirmed.
     */
    CompletableFuture<Void> cancel(String generationId);

    /**
     * Sends an order to load or evict an item. Completion means that the engine accepted the order, not that it has
     * executed it.
     *
     * @param order the order.
     * @return whether the engine accepted the order; it refuses a fencing number older than the newest it has seen.
     */
    CompletableFuture<OrderAnswer> order(Order order);

    /**
     * Reads which items are in the engine's memory and which orders are open.
     *
     * @return the current residency.
     */
    CompletableFuture<Residency> residency();

    /**
     * Reads the engine's latest load report, which may be stale; see {@link EngineLoad#ageMillis()}.
     *
     * @return the report.
     */
    CompletableFuture<EngineLoad> loadReport();

    /**
     * Describes a generation.
     *
     * @param id the unique id of the attempt.
     * @param model the model version's item name.
     * @param adapter the adapter version's item name, if any.
     * @param prompt the prompt.
     * @param maxTokens the maximum number of tokens to generate.
     * @param priority the scheduling priority; higher values run first.
     */
    record Generation(String id, String model, Optional<String> adapter, String prompt, int maxTokens, int priority) {}

    /** Kinds of orders. */
    enum OrderKind {
        /** Load an item from the weight store. */
        LOAD,
        /** Remove an item from memory. */
        EVICT
    }

    /**
     * Describes an order to the engine.
     *
     * @param id the unique id; a resent order with the same id is executed once.
     * @param kind whether to load or evict.
     * @param item the item's name.
     * @param bytes the size of the item in memory.
     * @param fence the fencing number of the side process.
     */
    record Order(String id, OrderKind kind, String item, long bytes, long fence) {}

    /** Answers of an engine to an order. */
    enum OrderAnswer {
        /** The engine accepted the order and will execute it. */
        TAKEN,
        /** The fencing number of the order is older than the newest one that the engine has seen. */
        STALE_FENCE
    }

    /**
     * Describes the contents of an engine's memory.
     *
     * @param bootId identifies the engine's incarnation; a new one means that the engine has lost its memory.
     * @param capacityBytes the size of the accelerator memory.
     * @param residents the items in memory.
     * @param openOrders orders that the engine has accepted but not yet executed.
     */
    record Residency(String bootId, long capacityBytes, List<Resident> residents, List<Order> openOrders) {}

    /**
     * Describes an item in memory.
     *
     * @param item the item's name.
     * @param bytes the size of the item in memory.
     */
    record Resident(String item, long bytes) {}

    /**
     * Represents a load report of an engine.
     *
     * @param running the number of generations in the batch.
     * @param queued the number of queued generations.
     * @param queuedTokens the number of tokens still to generate for all of them.
     * @param tokensPerSecond the recent throughput of the whole batch.
     * @param ageMillis the age of the report.
     */
    record EngineLoad(int running, int queued, long queuedTokens, double tokensPerSecond, long ageMillis) {}

    /** Receives the tokens of a stream. Its methods are called from one thread at a time. */
    interface Listener {

        /**
         * Receives a token.
         *
         * @param offset the offset of the token in the answer, starting at 0.
         * @param text the token's text.
         */
        void onToken(long offset, String text);

        /**
         * Receives the end of the stream.
         *
         * @param totalTokens the number of tokens of the complete answer, or empty if the stream ended early.
         * @param failure why the stream ended early, or empty if the answer is complete.
         */
        void onEnd(OptionalLong totalTokens, Optional<TargetException> failure);
    }
}
