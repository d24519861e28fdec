package io.waxwingquay.standin;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.engine.HttpPlainService;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * A plain service that counts how often each key and each request was run. It repeats a run when asked to.
 */
public final class PlainServiceStandin implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("waxwingquay.standin");
    private static final String OPERATIONS = "/operations/";

    private final Faults faults = new Faults();
    private final StandinTimer timer;
    private final long latencyMicros;
    private final Map<String, Integer> runsByKey = new TreeMap<>();
    private final Map<String, Integer> runsByRequest = new TreeMap<>();
    private final StandinServer server;

    private PlainServiceStandin(Builder builder) {
        this.timer = builder.timer;
        this.latencyMicros = builder.latencyMicros;
        this.server = StandinServer.start(builder.address, timer, faults, this::stats, this::serve);
    }

    /**
     * A builder: port 0, real time, 1 ms latency.
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
    public synchronized Stats stats() {
        return new Stats(new TreeMap<>(runsByKey), new TreeMap<>(runsByRequest));
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        server.close();
    }

    private CompletableFuture<StandinReply> serve(StandinExchange exchange) {
        if (!exchange.matchesPrefix("POST", OPERATIONS)) {
            return CompletableFuture.completedFuture(StandinReply.error(StandinReply.NOT_FOUND, "no such path"));
        }
        CompletableFuture<StandinReply> reply = new CompletableFuture<>();
        timer.schedule(latencyMicros, () -> reply.complete(run(exchange)));
        return reply;
    }

    private synchronized StandinReply run(StandinExchange exchange) {
        String requestId = exchange.header(HttpPlainService.REQUEST_ID_HEADER).orElse("");
        LOG.log(System.Logger.Level.DEBUG, () -> "standin: request " + requestId + " runs.");
        runsByRequest.merge(requestId, 1, Integer::sum);
        exchange.header(HttpPlainService.IDEMPOTENCY_KEY_HEADER)
                .ifPresent(key -> runsByKey.merge(key, 1, Integer::sum));
        String operation = URLDecoder.decode(exchange.pathAfter(OPERATIONS), StandardCharsets.UTF_8);
        return StandinReply.json(
                        StandinReply.OK,
                        new OperationResult(operation, requestId, DigestUtils.sha256Hex(exchange.body())))
                .withStateChanged();
    }

    /**
     * The answer of every operation: it names the request it belongs to.
     *
     * @param operation the operation.
     * @param requestId the caller's request identity.
     * @param bodySha256 digest of the body received.
     */
    public record OperationResult(String operation, String requestId, String bodySha256) {}

    /**
     * The recorded counts.
     *
     * @param runsByKey runs for each idempotency key.
     * @param runsByRequest runs for each request identity.
     */
    public record Stats(Map<String, Integer> runsByKey, Map<String, Integer> runsByRequest) {}

    /** Builds a stand-in. */
    public static final class Builder {

        private HostPort address = new HostPort("127.0.0.1", 0);
        private StandinTimer timer = StandinTimer.SYSTEM;
        private long latencyMicros = 1_000L;

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
         * Sets how long a run takes.
         *
         * @param micros the latency.
         * @return this builder.
         */
        public Builder latencyMicros(long micros) {
            this.latencyMicros = micros;
            return this;
        }

        /**
         * Starts the stand-in.
         *
         * @return the listening stand-in.
         */
        public PlainServiceStandin start() {
            return new PlainServiceStandin(this);
        }
    }
}
