package io.waxwingquay.standin;

import io.waxwingquay.common.HostPort;
import java.util.concurrent.CompletableFuture;

/**
 * A stand-in for the weight store. It also paces adapter loads, because their concurrency limit is shared by all
 * replicas.
 */
public final class WeightStoreStandin implements AutoCloseable {

    private static final String ADAPTER_PREFIX = "adapter:";

    private final Faults faults = new Faults();
    private final LoadPacer modelLoads;
    private final LoadPacer adapterLoads;
    private final StandinServer server;

    private WeightStoreStandin(Builder builder) {
        double microsPerMilli = 1_000L * builder.timeScale;
        this.modelLoads = new LoadPacer(
                builder.timer,
                builder.loadsAtOnce,
                builder.loadsPerSecond / builder.timeScale,
                item -> Math.round(builder.loadMillis * microsPerMilli));
        this.adapterLoads = new LoadPacer(
                builder.timer,
                builder.adapterLoadsAtOnce,
                Double.POSITIVE_INFINITY,
                item -> Math.round((5 + Math.floorMod(item.hashCode(), 11)) * microsPerMilli));
        this.server = StandinServer.start(builder.address, builder.timer, faults, this::stats, this::serve);
    }

    /**
     * Returns a builder. Its defaults are port 0, real time, 7 concurrent model loads of 2 s each, 1 start of a model
     * load per second, and 55 concurrent adapter loads.
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
        return new Stats(modelLoads.stats(), adapterLoads.stats());
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        server.close();
    }

    private CompletableFuture<StandinReply> serve(StandinExchange exchange) {
        if (!exchange.matches("POST", "/loads")) {
            return CompletableFuture.completedFuture(StandinReply.error(StandinReply.NOT_FOUND, "no such path"));
        }
        String item = exchange.parseBody(LoadRequest.class).item();
        LoadPacer pacer = item.startsWith(ADAPTER_PREFIX) ? adapterLoads : modelLoads;
        return pacer.load(item).thenApply(done -> StandinReply.empty(StandinReply.NO_CONTENT));
    }

    /**
     * The body of a load request.
     *
     * @param item the item's name, which begins with {@code adapter:} for an adapter.
     * @param bytes the item's size.
     */
    public record LoadRequest(String item, long bytes) {}

    /**
     * The counters of a weight store.
     *
     * @param models counters of model loads.
     * @param adapters counters of adapter loads.
     */
    public record Stats(LoadPacer.Stats models, LoadPacer.Stats adapters) {}

    /** A builder for a stand-in. */
    public static final class Builder {

        private HostPort address = new HostPort("127.0.0.1", 0);
        private StandinTimer timer = StandinTimer.SYSTEM;
        private int loadsAtOnce = 7;
        private double loadsPerSecond = 1.0;
        private long loadMillis = 2_000L;
        private int adapterLoadsAtOnce = 55;
        private double timeScale = 1.0;

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
         * Sets the limits of model loads.
         *
         * @param atOnce number of loads that run at full speed concurrently.
         * @param perSecond number of starts per second; further loads wait.
         * @param millis duration of a load at full speed.
         * @return this builder.
         */
        public Builder loads(int atOnce, double perSecond, long millis) {
            this.loadsAtOnce = atOnce;
            this.loadsPerSecond = perSecond;
            this.loadMillis = millis;
            return this;
        }

        /**
         * Sets the concurrency limit of adapter loads.
         *
         * @param atOnce number of loads that run at full speed concurrently.
         * @return this builder.
         */
        public Builder adapterLoadsAtOnce(int atOnce) {
            this.adapterLoadsAtOnce = atOnce;
            return this;
        }

        /**
         * Scales every duration; 0.1 runs ten times as fast.
         *
         * @param scale the factor.
         * @return this builder.
         */
        public Builder timeScale(double scale) {
            this.timeScale = scale;
            return this;
        }

        /**
         * Starts the stand-in.
         *
         * @return the stand-in, which accepts requests.
         */
        public WeightStoreStandin start() {
            return new WeightStoreStandin(this);
        }
    }
}
