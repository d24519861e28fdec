package io.waxwingquay.bench;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.Bundle.Kind;
import io.waxwingquay.bundle.Bundle.Service;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import io.waxwingquay.standin.CostModel;
import io.waxwingquay.standin.ModelEngineStandin;
import io.waxwingquay.standin.PlainServiceStandin;
import io.waxwingquay.standin.WeightSource;
import io.waxwingquay.standin.WeightStoreStandin;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.eclipse.jetty.client.HttpClient;

/**
 * The stand-ins of the targets of one bundle, with a weight store for each model service.
 */
public final class LocalTargets implements AutoCloseable {

    private static final String LOOPBACK = "127.0.0.1";
    private static final int MAX_STORE_CONNECTIONS = 256;
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000L;
    private static final long LOAD_TIMEOUT_MILLIS = 600_000L;
    private static final long PLAIN_LATENCY_MICROS = 2_000L;

    private final HttpClient client = HttpCalls.startClient(MAX_STORE_CONNECTIONS, CONNECT_TIMEOUT_MILLIS);
    private final Map<String, ModelEngineStandin> engines = new LinkedHashMap<>();
    private final Map<String, PlainServiceStandin> plainServices = new LinkedHashMap<>();
    private final Map<String, WeightStoreStandin> weightStores = new LinkedHashMap<>();
    private final CostModel costs;
    private final double timeScale;
    private final long weightLoadMillis;

    /**
     * Starts a stand-in for each replica and a weight store for each model service.
     *
     * @param bundle the bundle that defines the services.
     * @param costs the cost model of the engines.
     * @param timeScale the factor on every duration; 0.1 is ten times as fast.
     * @param weightLoadMillis duration of one model load at full speed.
     */
    public LocalTargets(Bundle bundle, CostModel costs, double timeScale, long weightLoadMillis) {
        this.costs = costs;
        this.timeScale = timeScale;
        this.weightLoadMillis = weightLoadMillis;
        bundle.services().forEach(this::startService);
    }

    /**
     * Returns the address of a target.
     *
     * @param sideName the name of its side.
     * @return the address.
     */
    public HostPort address(String sideName) {
        int port = Optional.ofNullable(engines.get(sideName))
                .map(ModelEngineStandin::port)
                .orElseGet(() -> plainServices.get(sideName).port());
        return new HostPort(LOOPBACK, port);
    }

    /**
     * Returns the engines.
     *
     * @return the stand-ins by the name of their side.
     */
    public Map<String, ModelEngineStandin> engines() {
        return engines;
    }

    /**
     * Returns the replicas of plain services.
     *
     * @return the stand-ins by the name of their side.
     */
    public Map<String, PlainServiceStandin> plainServices() {
        return plainServices;
    }

    /**
     * Returns the weight stores.
     *
     * @return the stand-ins by service.
     */
    public Map<String, WeightStoreStandin> weightStores() {
        return weightStores;
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        engines.values().forEach(ModelEngineStandin::close);
        plainServices.values().forEach(PlainServiceStandin::close);
        weightStores.values().forEach(WeightStoreStandin::close);
        try {
            client.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("the HTTP client of the targets did not stop", failure);
        }
    }

    private void startService(Service service) {
        if (service.kind() == Kind.PLAIN) {
            replicaNumbers(service)
                    .forEach(number ->
                            plainServices.put(SettingsText.sideName(service.name(), number), startPlainService()));
            return;
        }
        WeightStoreStandin store = startWeightStore(service);
        weightStores.put(service.name(), store);
        WeightSource source = WeightSource.http(client, new HostPort(LOOPBACK, store.port()), LOAD_TIMEOUT_MILLIS);
        replicaNumbers(service)
                .forEach(number ->
                        engines.put(SettingsText.sideName(service.name(), number), startEngine(service, source)));
    }

    private static IntStream replicaNumbers(Service service) {
        return IntStream.range(0, service.replicas());
    }

    private PlainServiceStandin startPlainService() {
        return PlainServiceStandin.builder().latencyMicros(PLAIN_LATENCY_MICROS).start();
    }

    private WeightStoreStandin startWeightStore(Service service) {
        return WeightStoreStandin.builder()
                .loads(service.weightLoadsAtOnce(), service.weightLoadsPerSecond(), weightLoadMillis)
                .adapterLoadsAtOnce(service.adapterLoadsAtOnce())
                .timeScale(timeScale)
                .start();
    }

    private ModelEngineStandin startEngine(Service service, WeightSource source) {
        ModelEngineStandin.Builder builder = ModelEngineStandin.builder()
                .capacityBytes(service.memoryBytes())
                .costs(costs)
                .timeScale(timeScale)
                .weights(source);
        return (service.ordersFenced() ? builder : builder.ignoringFences()).start();
    }
}
