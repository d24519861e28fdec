package io.waxwingquay.standin;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.engine.HttpModelEngine.StreamRequest;
import io.waxwingquay.engine.ModelEngine.Generation;
import io.waxwingquay.engine.ModelEngine.Order;
import io.waxwingquay.engine.ModelEngine.OrderAnswer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * A stand-in for a model engine, with continuous batching, accelerator memory, orders, residency and load reports.
 */
public final class ModelEngineStandin implements AutoCloseable {

    private static final String GENERATIONS = "/generations/";
    private static final long MICROS_PER_MILLI = 1_000L;
    private static final long DEFAULT_RESTART_MILLIS = 1_000L;

    private final Faults faults = new Faults();
    private final StandinTimer timer;
    private final CostModel costs;
    private final Batch batch;
    private final EngineMemory memory;
    private final StandinServer server;
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicLong notResident = new AtomicLong();

    private ModelEngineStandin(Builder builder) {
        this.timer = builder.timer;
        this.costs = builder.costs.scaled(builder.timeScale);
        this.batch = new Batch(timer, costs, faults::crashesOn, this::crash);
        this.memory = new EngineMemory(
                timer,
                builder.capacityBytes,
                builder.enforceFencing,
                costs.evictMicros(),
                builder.weights,
                batch::failSequencesUsing);
        this.server = StandinServer.start(builder.address, timer, faults, this::stats, this::serve);
    }

    /**
     * Returns a builder. Its defaults are port 0, real time, 80 GB of memory, fenced orders, the default costs, and
     * weights that load within 10 ms.
     *
     * @return the builder.
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the port that the stand-in listens on.
     *
     * @return the port.
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns the faults to simulate.
     *
     * @return the faults, which can be changed at any time.
     */
    public Faults faults() {
        return faults;
    }

    /**
     * Returns the counters.
     *
     * @return the counters so far.
     */
    public Stats stats() {
        return new Stats(memory.stats(), batch.stats(), notResident.get(), crashes.get());
    }

    /**
     * Puts an item into memory immediately, without an order.
     *
     * @param item the item's name.
     * @param bytes the memory it takes.
     */
    public void preload(String item, long bytes) {
        memory.preload(item, bytes);
    }

    /** Drops all memory and connections, and accepts requests again after {@link Faults.Settings#restartMillis()}. */
    public void crash() {
        crashes.incrementAndGet();
        long downtimeMillis = faults.settings().restartMillis().orElse(DEFAULT_RESTART_MILLIS);
        server.restart(downtimeMillis * MICROS_PER_MILLI);
        batch.reset();
        memory.reset();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        server.close();
    }

    private CompletableFuture<StandinReply> serve(StandinExchange exchange) {
        return CompletableFuture.completedFuture(reply(exchange));
    }

    private StandinReply reply(StandinExchange exchange) {
        if (exchange.matches("POST", "/generations")) {
            return generate(exchange.parseBody(StreamRequest.class));
        }
        if (exchange.matchesPrefix("DELETE", GENERATIONS)) {
            batch.cancel(exchange.pathAfter(GENERATIONS));
            return StandinReply.empty(StandinReply.NO_CONTENT).withStateChanged();
        }
        if (exchange.matches("POST", "/orders")) {
            return takeOrder(exchange.parseBody(Order.class));
        }
        if (exchange.matches("GET", "/residency")) {
            return StandinReply.json(StandinReply.OK, memory.residency());
        }
        if (exchange.matches("GET", "/load")) {
            return StandinReply.json(StandinReply.OK, batch.load());
        }
        return StandinReply.error(StandinReply.NOT_FOUND, "no such path");
    }

    private StandinReply generate(StreamRequest request) {
        Generation generation = request.generation();
        Optional<String> missingItem = firstMissingItem(generation);
        if (missingItem.isPresent() && !batch.contains(generation.id())) {
            notResident.incrementAndGet();
            return StandinReply.error(StandinReply.CONFLICT, missingItem.get() + " is not resident");
        }
        Sequence sequence = batch.start(generation);
        EventWriter.StreamFault fault = nextStreamFault();
        return StandinReply.eventStream(response -> new EventWriter(
                                sequence, request.fromOffset(), response, timer, costs.keepAliveMicros(), fault)
                        .open())
                .withStateChanged();
    }

    private Optional<String> firstMissingItem(Generation generation) {
        if (!memory.isResident(generation.model())) {
            return Optional.of(generation.model());
        }
        return generation.adapter().filter(adapter -> !memory.isResident(adapter));
    }

    private EventWriter.StreamFault nextStreamFault() {
        long afterTokens = faults.settings().streamTokens().orElse(0L);
        Optional<Faults.Kind> kind = Stream.of(
                        Faults.Kind.SILENT_STREAM, Faults.Kind.TRUNCATE_STREAM, Faults.Kind.DUPLICATE_STREAM)
                .filter(faults::consume)
                .findFirst();
        return new EventWriter.StreamFault(kind, afterTokens);
    }

    private StandinReply takeOrder(Order order) {
        if (faults.consume(Faults.Kind.LOSE_ORDER)) {
            return StandinReply.closedConnection();
        }
        if (faults.consume(Faults.Kind.DELAY_ORDER)) {
            long delayMillis = faults.settings().orderDelayMillis().orElse(0L);
            timer.schedule(delayMillis * MICROS_PER_MILLI, () -> memory.submit(order));
            return StandinReply.closedConnection();
        }
        OrderAnswer answer = faults.consume(Faults.Kind.FORGET_ORDER) ? OrderAnswer.TAKEN : memory.submit(order);
        int status = answer == OrderAnswer.TAKEN ? StandinReply.ACCEPTED : StandinReply.PRECONDITION_FAILED;
        return StandinReply.json(status, new OrderReply(answer)).withStateChanged();
    }

    /**
     * The reply to an order.
     *
     * @param answer whether the order was accepted.
     */
    public record OrderReply(OrderAnswer answer) {}

    /**
     * The counters of a model engine.
     *
     * @param memory counters of memory and orders.
     * @param batch counters of generations.
     * @param notResident number of generations refused because an item was not in memory.
     * @param crashes number of crashes.
     */
    public record Stats(EngineMemory.Stats memory, Batch.Stats batch, long notResident, int crashes) {}

    /** A builder for a stand-in. */
    public static final class Builder {

        private HostPort address = new HostPort("127.0.0.1", 0);
        private StandinTimer timer = StandinTimer.SYSTEM;
        private CostModel costs = CostModel.DEFAULT;
        private double timeScale = 1.0;
        private long capacityBytes = 80_000_000_000L;
        private boolean enforceFencing = true;
        private WeightSource weights = WeightSource.withFixedLatency(StandinTimer.SYSTEM, 10 * MICROS_PER_MILLI);

        private Builder() {}

        /**
         * Sets the address to listen on.
         *
         * @param newAddress the address; port 0 selects a free port.
         * @return this builder.
         */
        public Builder address(HostPort newAddress) {
            this.address = newAddress;
            return this;
        }

        /**
         * Sets the timer.
         *
         * @param newTimer the timer.
         * @return this builder.
         */
        public Builder timer(StandinTimer newTimer) {
            this.timer = newTimer;
            return this;
        }

        /**
         * Sets the cost model.
         *
         * @param newCosts the cost model at time scale 1.
         * @return this builder.
         */
        public Builder costs(CostModel newCosts) {
            this.costs = newCosts;
            return this;
        }

        /**
         * Scales the durations of the cost model; 0.1 runs ten times as fast.
         *
         * @param scale the factor.
         * @return this builder.
         */
        public Builder timeScale(double scale) {
            this.timeScale = scale;
            return this;
        }

        /**
         * Sets the size of the accelerator memory.
         *
         * @param bytes the size.
         * @return this builder.
         */
        public Builder capacityBytes(long bytes) {
            this.capacityBytes = bytes;
            return this;
        }

        /**
         * Makes the engine accept orders with a stale fencing token.
         *
         * @return this builder.
         */
        public Builder ignoringFences() {
            this.enforceFencing = false;
            return this;
        }

        /**
         * Sets the source of weights and adapters.
         *
         * @param newWeights the source.
         * @return this builder.
         */
        public Builder weights(WeightSource newWeights) {
            this.weights = newWeights;
            return this;
        }

        /**
         * Starts the stand-in.
         *
         * @return the stand-in, which accepts requests.
         */
        public ModelEngineStandin start() {
            return new ModelEngineStandin(this);
        }
    }
}
