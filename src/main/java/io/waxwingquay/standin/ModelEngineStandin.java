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
 * A model engine: a continuous batch, accelerator memory, orders, residency and load reports.
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
     * A builder: port 0, real time, 80 GB, fenced, default costs, weights in 10 ms.
     *
     * @return the builder.
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * The port listened on.
     *
     * @return the port.
     */
    public int port() {
        return server.port();
    }

    /**
     * The faults to show.
     *
     * @return the faults, to be changed at any time.
     */
    public Faults faults() {
        return faults;
    }

    /**
     * The recorded counts.
     *
     * @return the counts so far.
     */
    public Stats stats() {
        return new Stats(memory.stats(), batch.stats(), notResident.get(), crashes.get());
    }

    /**
     * Puts an item into memory at once, without an order.
     *
     * @param item the item's name.
     * @param bytes the memory it takes.
     */
    public void preload(String item, long bytes) {
        memory.preload(item, bytes);
    }

    /** Loses memory and connections, and comes back empty after the faults' restart time. */
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
     * Answer to an order.
     *
     * @param answer the answer.
     */
    public record OrderReply(OrderAnswer answer) {}

    /**
     * The recorded counts.
     *
     * @param memory memory and orders.
     * @param batch generations.
     * @param notResident generations refused because an item was not in memory.
     * @param crashes crashes.
     */
    public record Stats(EngineMemory.Stats memory, Batch.Stats batch, long notResident, int crashes) {}

    /** Builds a stand-in. */
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
         * Sets the address.
         *
         * @param newAddress where to listen; port 0 takes a free one.
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
         * Sets the costs.
         *
         * @param newCosts the costs at scale 1.
         * @return this builder.
         */
        public Builder costs(CostModel newCosts) {
            this.costs = newCosts;
            return this;
        }

        /**
         * Scales the costs; 0.1 is ten times as fast.
         *
         * @param scale the factor.
         * @return this builder.
         */
        public Builder timeScale(double scale) {
            this.timeScale = scale;
            return this;
        }

        /**
         * Sets the accelerator memory.
         *
         * @param bytes the memory.
         * @return this builder.
         */
        public Builder capacityBytes(long bytes) {
            this.capacityBytes = bytes;
            return this;
        }

        /**
         * Makes the engine obey orders with an old fencing number.
         *
         * @return this builder.
         */
        public Builder ignoringFences() {
            this.enforceFencing = false;
            return this;
        }

        /**
         * Sets where weights and adapters come from.
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
         * @return the listening stand-in.
         */
        public ModelEngineStandin start() {
            return new ModelEngineStandin(this);
        }
    }
}
