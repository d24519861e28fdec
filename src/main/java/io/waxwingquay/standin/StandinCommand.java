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
 * Runs a stand-in as a process of its own, until the process is stopped.
 */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description = "Run a stand-in of an outside system; no part of the product.",
        subcommands = {
            StandinCommand.Engine.class,
            StandinCommand.Plain.class,
            StandinCommand.Platform.class,
            StandinCommand.Weights.class
        })
public final class StandinCommand {

    private static int serveUntilStopped(AutoCloseable standin, String kind, int port) throws Exception {
        try (standin) {
            // The commands log warnings only, but whoever starts a stand-in on port 0 has to learn its port.
            Logging.configure(LogFormat.TEXT, LogLevel.INFO);
            System.getLogger("waxwingquay.standin")
                    .log(System.Logger.Level.INFO, "standin: {0} listens on port {1}", kind, String.valueOf(port));
            new CountDownLatch(1).await();
        }
        return 0;
    }

    /** Where to listen. */
    static final class ListenOptions {

        @Option(names = "--host", defaultValue = "127.0.0.1", description = "IP address (default ${DEFAULT-VALUE}).")
        private String host;

        @Option(names = "--port", required = true, description = "TCP port; 0 takes a free one.")
        private int port;

        private HostPort address() {
            return new HostPort(host, port);
        }
    }

    /** A model engine. */
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
                description = "Accelerator memory (default ${DEFAULT-VALUE}).")
        private long capacityBytes;

        @Option(names = "--ignore-fences", description = "Obey orders with an old fencing number.")
        private boolean ignoreFences;

        @Option(names = "--weights", description = "host:port of the weight store; without it a load takes 10 ms.")
        private Optional<String> weights = Optional.empty();

        @Option(names = "--prefill-micros-per-token", defaultValue = "200", description = "Default ${DEFAULT-VALUE}.")
        private double prefillMicros;

        @Option(names = "--step-base-micros", defaultValue = "20000", description = "Default ${DEFAULT-VALUE}.")
        private double stepBaseMicros;

        @Option(names = "--step-per-sequence-micros", defaultValue = "400", description = "Default ${DEFAULT-VALUE}.")
        private double stepPerSequenceMicros;

        @Option(names = "--max-batch", defaultValue = "32", description = "Default ${DEFAULT-VALUE}.")
        private int maxBatch;

        @Option(names = "--prefix-cache-tokens", defaultValue = "65536", description = "Default ${DEFAULT-VALUE}.")
        private int prefixCacheTokens;

        @Option(names = "--time-scale", defaultValue = "1.0", description = "0.1 is ten times as fast.")
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

    /** A plain service. */
    @Command(name = "plain", mixinStandardHelpOptions = true, description = "A plain service.")
    static final class Plain implements Callable<Integer> {

        @Mixin
        private ListenOptions listen;

        @Option(names = "--latency-micros", defaultValue = "1000", description = "Default ${DEFAULT-VALUE}.")
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

    /** The platform. */
    @Command(name = "platform", mixinStandardHelpOptions = true, description = "Table, object store and VM list.")
    static final class Platform implements Callable<Integer> {

        @Mixin
        private ListenOptions listen;

        @Option(names = "--list-lag-millis", defaultValue = "0", description = "Age of the VM list.")
        private long listLagMillis;

        @Option(
                names = "--list-expiry-millis",
                defaultValue = "10000",
                description = "How long a VM stays listed after its last announcement (default ${DEFAULT-VALUE}).")
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

    /** The weight store. */
    @Command(name = "weights", mixinStandardHelpOptions = true, description = "The weight store.")
    static final class Weights implements Callable<Integer> {

        @Mixin
        private ListenOptions listen;

        @Option(names = "--loads-at-once", defaultValue = "7", description = "Default ${DEFAULT-VALUE}.")
        private int loadsAtOnce;

        @Option(names = "--loads-per-second", defaultValue = "1.0", description = "Default ${DEFAULT-VALUE}.")
        private double loadsPerSecond;

        @Option(names = "--load-millis", defaultValue = "2000", description = "Default ${DEFAULT-VALUE}.")
        private long loadMillis;

        @Option(names = "--adapter-loads-at-once", defaultValue = "55", description = "Default ${DEFAULT-VALUE}.")
        private int adapterLoadsAtOnce;

        @Option(names = "--time-scale", defaultValue = "1.0", description = "0.1 is ten times as fast.")
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
