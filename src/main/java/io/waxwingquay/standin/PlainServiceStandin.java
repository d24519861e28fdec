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
 * A stand-in for a plain service that counts how often each idempotency key and each request was run. It doesn't
 * deduplicate requests, so that repeated runs are visible in the counters.
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
     * Returns a builder. Its defaults are port 0, real time and a latency of 1 ms.
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
        LOG.log(System.Logger.Level.DEBUG, () -> "standin: request " + requestId + " is running.");
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
     * The response of every operation, which identifies the request that it belongs to.
     *
     * @param operation the name of the operation.
     * @param requestId the caller's request id.
     * @param bodySha256 the digest of the received body.
     */
    public record OperationResult(String operation, String requestId, String bodySha256) {}

    /**
     * The counters of a plain service.
     *
     * @param runsByKey number of runs for each idempotency key.
     * @param runsByRequest number of runs for each request id.
     */
    public record Stats(Map<String, Integer> runsByKey, Map<String, Integer> runsByRequest) {}

    /** A builder for a stand-in. */
    public static final class Builder {

        private HostPort address = new HostPort("127.0.0.1", 0);
        private StandinTimer timer = StandinTimer.SYSTEM;
        private long latencyMicros = 1_000L;

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
         * Sets the duration of a run.
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
         * @return the stand-in, which accepts requests.
         */
        public PlainServiceStandin start() {
            return new PlainServiceStandin(this);
        }
    }
}
