package io.waxwingquay.standin;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import io.waxwingquay.observe.Logging;
import io.waxwingquay.settings.ProcessSettings.LogFormat;
import io.waxwingquay.settings.ProcessSettings.LogLevel;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.client.HttpClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Runs a stand-in as a separate process until the process is stopped.
 */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description = "Run a stand-in for an external system; not part of the product.",
        subcommands = {
            StandinCommand.Engine.class,
            StandinCommand.Plain.class,
            StandinCommand.Platform.class,
            StandinCommand.Weights.class
        })
public final class StandinCommand {

    private static int serveUntilStopped(AutoCloseable standin, String kind, int port) throws Exception {
        try (standin) {
            // Commands log warnings only, but the port of a stand-in that was started on port 0 is found in its log.
            Logging.configure(LogFormat.TEXT, LogLevel.INFO);
            System.getLogger("waxwingquay.standin")
                    .log(System.Logger.Level.INFO, "standin: {0} listens on port {1}", kind, String.valueOf(port));
            new CountDownLatch(1).await();
        }
        return 0;
    }

    /** The options for the address to listen on. */
    static final class ListenOptions {

        @Option(names = "--host", defaultValue = "127.0.0.1", description = "IP address (default ${DEFAULT-VALUE}).")
        private String host;

        @Option(names = "--port", required = true, description = "TCP port; 0 selects a free one.")
        private int port;

        private HostPort address() {
            return new HostPort(host, port);
        }
    }

    /** Runs a model engine. */
    @Command(name = "engine", mixinStandardHelpOptions = true, description = "A model engine.")
    static final class Engine implements Callable<Integer> {

        private static final int MAX_STORE_CONNECTIONS = 64;
        private static final long CONNECT_TIMEOUT_MILLIS = 2_000L;
        private static final long LOAD_TIMEOUT_MILLIS = 600_000L;

        @Mixin
        private ListenOptions listen;

        @Option(
                names = "--capacity-bytes",
                defaultValue = "80000000000",
                description = "Size of the accelerator memory (default ${DEFAULT-VALUE}).")
        private long capacityBytes;

        @Option(names = "--ignore-fences", description = "Accept orders with a stale fencing token.")
        private boolean ignoreFences;

        @Option(names = "--weights", description = "host:port of the weight store; if absent, a load takes 10 ms.")
        private Optional<String> weights = Optional.empty();

        @Option(
                names = "--prefill-micros-per-token",
                defaultValue = "200",
                description = "Cost of a prompt token that is not cached (default ${DEFAULT-VALUE}).")
        private double prefillMicros;

        @Option(
                names = "--step-base-micros",
                defaultValue = "20000",
                description = "Cost of a step, independent of the batch size (default ${DEFAULT-VALUE}).")
        private double stepBaseMicros;

        @Option(
                names = "--step-per-sequence-micros",
                defaultValue = "400",
                description = "Cost of a step for each sequence (default ${DEFAULT-VALUE}).")
        private double stepPerSequenceMicros;

        @Option(
                names = "--max-batch",
                defaultValue = "32",
                description = "Maximum number of sequences in a step (default ${DEFAULT-VALUE}).")
        private int maxBatch;

        @Option(
                names = "--prefix-cache-tokens",
                defaultValue = "65536",
                description = "Capacity of the prefix cache in prompt tokens (default ${DEFAULT-VALUE}).")
        private int prefixCacheTokens;

        @Option(
                names = "--time-scale",
                defaultValue = "1.0",
                description = "Factor for simulated durations; 0.1 runs ten times as fast.")
        private double timeScale;

        /** {@inheritDoc} */
        @Override
        public Integer call() throws Exception {
            ModelEngineStandin.Builder builder = ModelEngineStandin.builder()
                    .address(listen.address())
                    .capacityBytes(capacityBytes)
                    .costs(costs())
                    .timeScale(timeScale);
            if (ignoreFences) {
                builder.ignoringFences();
            }
            weights.map(HostPort::of).ifPresent(address -> builder.weights(weightStore(address)));
            ModelEngineStandin standin = builder.start();
            return serveUntilStopped(standin, "engine", standin.port());
        }

        private CostModel costs() {
            CostModel defaults = CostModel.DEFAULT;
            return new CostModel(
                    prefillMicros,
                    prefillMicros * defaults.cachedMicrosPerToken() / defaults.prefillMicrosPerToken(),
                    stepBaseMicros,
                    stepPerSequenceMicros,
                    maxBatch,
                    prefixCacheTokens,
                    defaults.evictMicros(),
                    defaults.loadReportLagMicros(),
                    defaults.keepAliveMicros());
        }

        private static WeightSource weightStore(HostPort address) {
            HttpClient client = HttpCalls.startClient(MAX_STORE_CONNECTIONS, CONNECT_TIMEOUT_MILLIS);
            return WeightSource.http(client, address, LOAD_TIMEOUT_MILLIS);
        }
    }

    /** Runs a plain service. */
    @Command(name = "plain", mixinStandardHelpOptions = true, description = "A plain service.")
    static final class Plain implements Callable<Integer> {

        @Mixin
        private ListenOptions listen;

        @Option(
                names = "--latency-micros",
                defaultValue = "1000",
                description = "Duration of a run (default ${DEFAULT-VALUE}).")
        private long latencyMicros;

        /** {@inheritDoc} */
        @Override
        public Integer call() throws Exception {
            PlainServiceStandin standin = PlainServiceStandin.builder()
                    .address(listen.address())
                    .latencyMicros(latencyMicros)
                    .start();
            return serveUntilStopped(standin, "plain", standin.port());
        }
    }

    /** Runs the platform. */
    @Command(name = "platform", mixinStandardHelpOptions = true, description = "Table, object store and VM list.")
    static final class Platform implements Callable<Integer> {

        @Mixin
        private ListenOptions listen;

        @Option(names = "--list-lag-millis", defaultValue = "0", description = "Age of the VM list that is served.")
        private long listLagMillis;

        @Option(
                names = "--list-expiry-millis",
                defaultValue = "10000",
                description = "Time until a VM expires after its last announcement (default ${DEFAULT-VALUE}).")
        private long listExpiryMillis;

        /** {@inheritDoc} */
        @Override
        public Integer call() throws Exception {
            PlatformStandin standin = PlatformStandin.builder()
                    .address(listen.address())
                    .listLagMillis(listLagMillis)
                    .listExpiryMillis(listExpiryMillis)
                    .start();
            return serveUntilStopped(standin, "platform", standin.port());
        }
    }

    /** Runs the weight store. */
    @Command(name = "weights", mixinStandardHelpOptions = true, description = "The weight store.")
    static final class Weights implements Callable<Integer> {

        @Mixin
        private ListenOptions listen;

        @Option(
                names = "--loads-at-once",
                defaultValue = "7",
                description = "Model loads that run at full speed concurrently (default ${DEFAULT-VALUE}).")
        private int loadsAtOnce;

        @Option(
                names = "--loads-per-second",
                defaultValue = "1.0",
                description = "Rate at which model loads start (default ${DEFAULT-VALUE}).")
        private double loadsPerSecond;

        @Option(
                names = "--load-millis",
                defaultValue = "2000",
                description = "Duration of a model load at full speed (default ${DEFAULT-VALUE}).")
        private long loadMillis;

        @Option(
                names = "--adapter-loads-at-once",
                defaultValue = "55",
                description = "Adapter loads that run at full speed concurrently (default ${DEFAULT-VALUE}).")
        private int adapterLoadsAtOnce;

        @Option(
                names = "--time-scale",
                defaultValue = "1.0",
                description = "Factor for simulated durations; 0.1 runs ten times as fast.")
        private double timeScale;

        /** {@inheritDoc} */
        @Override
        public Integer call() throws Exception {
            WeightStoreStandin standin = WeightStoreStandin.builder()
                    .address(listen.address())
                    .loads(loadsAtOnce, loadsPerSecond, loadMillis)
                    .adapterLoadsAtOnce(adapterLoadsAtOnce)
                    .timeScale(timeScale)
                    .start();
            return serveUntilStopped(standin, "weights", standin.port());
        }
    }
}
