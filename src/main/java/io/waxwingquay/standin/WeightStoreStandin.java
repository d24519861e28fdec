package io.waxwingquay.standin;

import io.waxwingquay.common.HostPort;
import java.util.concurrent.CompletableFuture;

/**
 * The weight store. It also paces adapter loads, whose limit is shared by all replicas.
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
     * A builder: port 0, real time, 7 loads at once of 2 s each, 1 start a second, 55 adapter loads at once.
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
     * Body of a load.
     *
     * @param item the item's name; an adapter's begins with {@code adapter:}.
     * @param bytes the item's size.
     */
    public record LoadRequest(String item, long bytes) {}

    /**
     * The recorded counts.
     *
     * @param models loads of models.
     * @param adapters loads of adapters.
     */
    public record Stats(LoadPacer.Stats models, LoadPacer.Stats adapters) {}

    /** Builds a stand-in. */
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
         * Sets the limits of model loads.
         *
         * @param atOnce loads that run at full speed together.
         * @param perSecond starts a second; more wait.
         * @param millis time of one load at full speed.
         * @return this builder.
         */
        public Builder loads(int atOnce, double perSecond, long millis) {
            this.loadsAtOnce = atOnce;
            this.loadsPerSecond = perSecond;
            this.loadMillis = millis;
            return this;
        }

        /**
         * Sets the limit of adapter loads.
         *
         * @param atOnce loads that run at full speed together.
         * @return this builder.
         */
        public Builder adapterLoadsAtOnce(int atOnce) {
            this.adapterLoadsAtOnce = atOnce;
            return this;
        }

        /**
         * Scales every time; 0.1 is ten times as fast.
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
         * @return the listening stand-in.
         */
        public WeightStoreStandin start() {
            return new WeightStoreStandin(this);
        }
    }
}
