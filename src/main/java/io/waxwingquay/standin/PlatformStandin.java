package io.waxwingquay.standin;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.store.HttpTableService;
import io.waxwingquay.store.HttpVmList;
import io.waxwingquay.store.TableService;
import io.waxwingquay.store.VmList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for the platform, with a transactional table, an object store and a VM list.
 */
public final class PlatformStandin implements AutoCloseable {

    private static final String OBJECTS = "/objects/";

    private final Faults faults = new Faults();
    private final Map<String, TableService.Row> rows = new LinkedHashMap<>();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final VmHistory vms;
    private final RateCounter transactions;
    private final RateCounter writes;
    private final RateCounter reads;
    private final RateCounter objectWrites;
    private final RateCounter objectReads;
    private final RateCounter listReads;
    private final StandinServer server;

    private PlatformStandin(Builder builder) {
        StandinTimer timer = builder.timer;
        this.vms = new VmHistory(timer, builder.listLagMillis, builder.listExpiryMillis);
        this.transactions = new RateCounter(timer);
        this.writes = new RateCounter(timer);
        this.reads = new RateCounter(timer);
        this.objectWrites = new RateCounter(timer);
        this.objectReads = new RateCounter(timer);
        this.listReads = new RateCounter(timer);
        this.server = StandinServer.start(
                builder.address,
                timer,
                faults,
                this::stats,
                exchange -> CompletableFuture.completedFuture(serve(exchange)));
    }

    /**
     * Returns a builder. Its defaults are port 0, real time, and a VM list without lag, from which a VM expires 10 s
     * after its last announcement.
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
        return new Stats(
                transactions.count(),
                writes.count(),
                reads.count(),
                objectWrites.count(),
                objectReads.count(),
                listReads.count());
    }

    /**
     * Returns the present state of a row, regardless of any injected fault.
     *
     * @param key the key.
     * @return the row, or empty if there is none.
     */
    public Optional<TableService.Row> row(String key) {
        synchronized (rows) {
            return Optional.ofNullable(rows.get(key));
        }
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        server.close();
    }

    private StandinReply serve(StandinExchange exchange) {
        if (exchange.matches("POST", "/table/read")) {
            return readRows(exchange.parseBody(HttpTableService.ReadRequest.class));
        }
        if (exchange.matches("POST", "/table/commit")) {
            return commitWrites(exchange.parseBody(HttpTableService.CommitRequest.class));
        }
        if (exchange.matchesPrefix("PUT", OBJECTS)) {
            return putObject(exchange);
        }
        if (exchange.matchesPrefix("GET", OBJECTS)) {
            return getObject(exchange);
        }
        if (exchange.matches("GET", "/vms")) {
            return listVms();
        }
        if (exchange.matches("POST", "/vms")) {
            vms.announce(exchange.parseBody(VmList.Vm.class));
            return StandinReply.empty(StandinReply.NO_CONTENT).withStateChanged();
        }
        return StandinReply.error(StandinReply.NOT_FOUND, "no such path");
    }

    private StandinReply readRows(HttpTableService.ReadRequest request) {
        reads.add(request.keys().size());
        Map<String, TableService.Row> found = new LinkedHashMap<>();
        synchronized (rows) {
            request.keys().stream().filter(rows::containsKey).forEach(key -> found.put(key, rows.get(key)));
        }
        return StandinReply.json(StandinReply.OK, new HttpTableService.ReadReply(found));
    }

    private StandinReply commitWrites(HttpTableService.CommitRequest request) {
        transactions.add(1);
        Map<String, Optional<TableService.Row>> conflicts = new LinkedHashMap<>();
        synchronized (rows) {
            request.writes().stream()
                    .filter(write -> versionOf(write.key()) != write.expectedVersion())
                    .forEach(write -> conflicts.put(write.key(), Optional.ofNullable(rows.get(write.key()))));
            if (conflicts.isEmpty()) {
                request.writes().forEach(this::writeRow);
            }
        }
        TableService.CommitResult result = new TableService.CommitResult(conflicts.isEmpty(), conflicts);
        return StandinReply.json(StandinReply.OK, result).withStateChanged();
    }

    private void writeRow(TableService.Write write) {
        writes.add(1);
        rows.put(write.key(), new TableService.Row(write.value(), write.expectedVersion() + 1));
    }

    private long versionOf(String key) {
        TableService.Row row = rows.get(key);
        return row == null ? TableService.ABSENT : row.version();
    }

    private StandinReply putObject(StandinExchange exchange) {
        objectWrites.add(1);
        objects.put(exchange.pathAfter(OBJECTS), exchange.body());
        return StandinReply.empty(StandinReply.NO_CONTENT).withStateChanged();
    }

    private StandinReply getObject(StandinExchange exchange) {
        objectReads.add(1);
        byte[] object = objects.get(exchange.pathAfter(OBJECTS));
        return object == null
                ? StandinReply.error(StandinReply.NOT_FOUND, "no such object")
                : StandinReply.of(StandinReply.OK, "application/octet-stream", object);
    }

    private StandinReply listVms() {
        listReads.add(1);
        long backwardsMillis = faults.consume(Faults.Kind.LIST_BACKWARDS)
                ? faults.settings().backwardsMillis().orElse(0L)
                : 0L;
        return StandinReply.json(StandinReply.OK, new HttpVmList.Listing(vms.list(backwardsMillis)));
    }

    /**
     * The counters of a platform. Every row counts, so that a transaction with many claims isn't counted as one write.
     *
     * @param transactions number of commits requested.
     * @param writes number of rows written.
     * @param reads number of keys read.
     * @param objectWrites number of objects stored.
     * @param objectReads number of objects requested.
     * @param listReads number of requests for the VM list.
     */
    public record Stats(
            RateCounter.Count transactions,
            RateCounter.Count writes,
            RateCounter.Count reads,
            RateCounter.Count objectWrites,
            RateCounter.Count objectReads,
            RateCounter.Count listReads) {}

    /** A builder for a stand-in. */
    public static final class Builder {

        private HostPort address = new HostPort("127.0.0.1", 0);
        private StandinTimer timer = StandinTimer.SYSTEM;
        private long listLagMillis;
        private long listExpiryMillis = 10_000L;

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
         * Sets the age of the VM list that is served.
         *
         * @param millis the lag.
         * @return this builder.
         */
        public Builder listLagMillis(long millis) {
            this.listLagMillis = millis;
            return this;
        }

        /**
         * Sets how long a VM stays listed after its last announcement.
         *
         * @param millis the expiry.
         * @return this builder.
         */
        public Builder listExpiryMillis(long millis) {
            this.listExpiryMillis = millis;
            return this;
        }

        /**
         * Starts the stand-in.
         *
         * @return the stand-in, which accepts requests.
         */
        public PlatformStandin start() {
            return new PlatformStandin(this);
        }
    }
}
