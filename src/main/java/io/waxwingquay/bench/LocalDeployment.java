package io.waxwingquay.bench;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.Bundle.Service;
import io.waxwingquay.bundle.BundleAcceptance;
import io.waxwingquay.bundle.BundleArchive;
import io.waxwingquay.bundle.BundleDocument;
import io.waxwingquay.bundle.BundleSigner;
import io.waxwingquay.bundle.KeyCodec;
import io.waxwingquay.bundle.SignedBundle;
import io.waxwingquay.bundle.TrustedKeys;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import io.waxwingquay.placement.DemandThresholds;
import io.waxwingquay.placement.PlacementInput;
import io.waxwingquay.placement.PlacementStrategy;
import io.waxwingquay.placement.Plan;
import io.waxwingquay.process.EntryProcess;
import io.waxwingquay.process.SideProcess;
import io.waxwingquay.settings.EntrySettings;
import io.waxwingquay.settings.SideSettings;
import io.waxwingquay.standin.PlatformStandin;
import io.waxwingquay.store.HttpObjectStore;
import io.waxwingquay.store.HttpTableService;
import java.nio.charset.StandardCharsets;
import java.security.KeyPair;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.eclipse.jetty.client.HttpClient;

/**
 * A whole deployment in this JVM over loopback: real entries and real sides, with stand-ins for the platform and the
 * targets.
 */
public final class LocalDeployment implements AutoCloseable {

    private static final String LOOPBACK = "127.0.0.1";
    private static final List<Integer> ANY_PORTS = List.of(0, 0, 0);
    private static final int DATA_CENTRES = 3;
    private static final long TABLE_TIMEOUT_MILLIS = 1_000L;
    private static final long POLL_INTERVAL_MILLIS = 20L;
    private static final int SEED_COUNT = 3;
    private static final int OPERATOR_CONNECTIONS = 8;

    private final Bundle bundle;
    private final KeyPair operatorKey = KeyCodec.generate();
    private final PlatformStandin platform;
    private final LocalTargets targets;
    private final LocalDeploymentBuilder configuration;
    private final SettingsText settings;
    private final Map<String, SideProcess> sides = new LinkedHashMap<>();
    private final List<EntryProcess> entries = new ArrayList<>();
    private final List<HostPort> callerAddresses = new CopyOnWriteArrayList<>();

    LocalDeployment(LocalDeploymentBuilder configuration) {
        this.configuration = configuration;
        this.bundle = BundleDocument.parse("bundle", configuration.document);
        this.platform = PlatformStandin.builder()
                .listLagMillis(configuration.listLagMillis)
                .start();
        this.targets =
                new LocalTargets(bundle, configuration.costs, configuration.timeScale, configuration.weightLoadMillis);
        this.settings = new SettingsText(
                new HostPort(LOOPBACK, platform.port()),
                KeyCodec.encode(operatorKey.getPublic()),
                DATA_CENTRES,
                configuration.permitLeaseMillis,
                configuration.orderQuarantineMillis);
    }

    /**
     * Creates a builder of a deployment.
     *
     * @param document the bundle to serve, as TOML.
     * @return a new builder.
     */
    public static LocalDeploymentBuilder builder(byte[] document) {
        return new LocalDeploymentBuilder(document);
    }

    /**
     * Returns the bundle that the deployment started with.
     *
     * @return the bundle.
     */
    public Bundle bundle() {
        return bundle;
    }

    /**
     * Returns the platform.
     *
     * @return the stand-in.
     */
    public PlatformStandin platform() {
        return platform;
    }

    /**
     * Returns the targets.
     *
     * @return the stand-ins.
     */
    public LocalTargets targets() {
        return targets;
    }

    /**
     * Returns the sides by name.
     *
     * @return the running processes.
     */
    public Map<String, SideProcess> sides() {
        return sides;
    }

    /**
     * Returns the entries.
     *
     * @return the running processes.
     */
    public List<EntryProcess> entries() {
        return entries;
    }

    /**
     * Signs a document with the operator's key and submits it.
     *
     * @param document the bundle, as TOML.
     * @return the outcome.
     */
    public BundleAcceptance.Outcome submit(byte[] document) {
        HttpClient client = HttpCalls.startClient(OPERATOR_CONNECTIONS, TABLE_TIMEOUT_MILLIS);
        try {
            HostPort address = new HostPort(LOOPBACK, platform.port());
            BundleArchive archive = new BundleArchive(
                    new HttpTableService(client, address, TABLE_TIMEOUT_MILLIS),
                    new HttpObjectStore(client, address, TABLE_TIMEOUT_MILLIS));
            TrustedKeys roots = TrustedKeys.ofRoots(List.of(KeyCodec.encode(operatorKey.getPublic())));
            return new BundleAcceptance(archive, roots).submit(sign(document)).join();
        } finally {
            stop(client);
        }
    }

    /**
     * Signs a document with the operator's key.
     *
     * @param document the bundle, as TOML.
     * @return the signed bundle, which is not submitted.
     */
    public SignedBundle sign(byte[] document) {
        return BundleSigner.of(operatorKey.getPrivate(), operatorKey.getPublic())
                .sign(document);
    }

    /**
     * Waits until every entry knows a serving side for every model and every service.
     *
     * @param limitMillis the wait limit.
     * @return whether all were served in time.
     * @throws InterruptedException if the wait is interrupted.
     */
    public boolean awaitServing(long limitMillis) throws InterruptedException {
        return await(limitMillis, () -> entries.stream().allMatch(this::servesAll));
    }

    /**
     * Waits until a bundle version is in force in every entry and side.
     *
     * @param version the version.
     * @param limitMillis the wait limit.
     * @return whether the version came into force in time.
     * @throws InterruptedException if the wait is interrupted.
     */
    public boolean awaitVersion(long version, long limitMillis) throws InterruptedException {
        return await(limitMillis, () -> Stream.concat(
                        entries.stream().map(EntryProcess::bundleVersion),
                        sides.values().stream().map(SideProcess::bundleVersion))
                .allMatch(inForce -> inForce >= version));
    }

    /**
     * Returns the models for which an entry knows no serving side.
     *
     * @param entry the entry.
     * @return the items of these models.
     */
    public Set<String> unservedModels(EntryProcess entry) {
        Set<String> resident = entry.membership().sides().stream()
                .filter(side -> side.acceptsWork())
                .flatMap(side -> side.residentItems().stream())
                .collect(Collectors.toSet());
        return bundle.models().stream()
                .map(Bundle.Model::item)
                .filter(item -> !resident.contains(item))
                .collect(Collectors.toSet());
    }

    /**
     * Starts a side, or restarts one that was killed.
     *
     * @param service its service.
     * @param replica its number.
     */
    public void startSide(Service service, int replica) {
        startSide(service, replica, seeds());
    }

    /**
     * Starts a side, or restarts one that was killed.
     *
     * @param service its service.
     * @param replica its number.
     * @param seeds addresses of processes that it gossips with at first.
     */
    public void startSide(Service service, int replica, List<HostPort> seeds) {
        String name = SettingsText.sideName(service.name(), replica);
        String text = settings.withSeeds(seeds).side(service, replica, targets.address(name), ANY_PORTS);
        SideSettings sideSettings = SideSettings.parse(name, text.getBytes(StandardCharsets.UTF_8));
        sides.put(name, SideProcess.start(sideSettings, configuration.decisions));
    }

    /**
     * Stops a side without draining it, as the loss of its VM does.
     *
     * @param name its name.
     */
    public void killSide(String name) {
        sides.remove(name).close();
    }

    /**
     * Stops an entry, as the loss of its VM does.
     *
     * @param number its number.
     */
    public void killEntry(int number) {
        entries.get(number).close();
    }

    /**
     * Starts a new entry in place of one that was killed.
     *
     * @param number its number.
     */
    public void restartEntry(int number) {
        entries.set(number, startEntry(number));
        callerAddresses.set(number, entries.get(number).callerAddress());
    }

    /**
     * Returns the address at which callers reach an entry, or reached it before it was killed.
     *
     * @param number its number.
     * @return the address.
     */
    public HostPort callerAddress(int number) {
        return callerAddresses.get(number);
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        entries.forEach(EntryProcess::close);
        sides.values().forEach(SideProcess::close);
        targets.close();
        platform.close();
    }

    LocalDeployment start() {
        BundleAcceptance.Outcome outcome = submit(configuration.document);
        if (outcome.verdict() != BundleAcceptance.Verdict.ACCEPTED) {
            throw new IllegalStateException("the bundle was not accepted: " + outcome.message());
        }
        if (configuration.initialResidents == InitialResidents.PRELOADED) {
            preloadEngines();
        }
        bundle.services().forEach(service -> IntStream.range(0, service.replicas())
                .forEach(number -> startSide(service, number)));
        IntStream.range(0, configuration.entryCount).mapToObj(this::startEntry).forEach(entries::add);
        entries.forEach(entry -> callerAddresses.add(entry.callerAddress()));
        return this;
    }

    private EntryProcess startEntry(int number) {
        String text = settings.withSeeds(seeds()).entry(number, configuration.routingPolicy, ANY_PORTS);
        return EntryProcess.start(EntrySettings.parse("entry", text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Loads the items of the static plan into the engines, so that every policy starts from the same residents. */
    private void preloadEngines() {
        Map<String, Long> sizeBytes = new HashMap<>();
        bundle.models().forEach(model -> sizeBytes.put(model.item(), model.sizeBytes()));
        bundle.adapters().forEach(adapter -> sizeBytes.put(adapter.item(), adapter.sizeBytes()));
        bundle.services().stream()
                .filter(service -> service.kind() == Bundle.Kind.MODEL)
                .forEach(service -> preloadEngines(service, sizeBytes));
    }

    private void preloadEngines(Service service, Map<String, Long> sizeBytes) {
        List<PlacementInput.LiveSide> emptySides = IntStream.range(0, service.replicas())
                .mapToObj(number -> new PlacementInput.LiveSide(
                        SettingsText.sideName(service.name(), number),
                        settings.dataCentre(number),
                        service.memoryBytes(),
                        Set.of(),
                        Map.of()))
                .toList();
        PlacementInput input = new PlacementInput(bundle, service.name(), emptySides, Map.of(), Map.of(), 0L);
        Plan plan = PlacementStrategy.named("static", DemandThresholds.DISABLED).plan(input);
        emptySides.forEach(side -> plan.shareOf(side.id())
                .wantedItems()
                .forEach(item -> targets.engines().get(side.id()).preload(item, sizeBytes.get(item))));
    }

    /** Returns the addresses of a few sides, which every process takes as seeds, as operators configure them. */
    private List<HostPort> seeds() {
        return sides.values().stream()
                .map(SideProcess::address)
                .limit(SEED_COUNT)
                .toList();
    }

    private boolean servesAll(EntryProcess entry) {
        Set<String> services = entry.membership().sides().stream()
                .filter(side -> side.acceptsWork())
                .map(side -> side.service())
                .collect(Collectors.toSet());
        return unservedModels(entry).isEmpty()
                && bundle.services().stream().allMatch(service -> services.contains(service.name()));
    }

    private static boolean await(long limitMillis, BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        while (System.nanoTime() < endNanos) {
            if (condition.getAsBoolean()) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        return false;
    }

    private static void stop(HttpClient client) {
        try {
            client.stop();
        } catch (Exception failure) {
            throw new IllegalStateException("the operator's HTTP client did not stop", failure);
        }
    }

    /** The items that are resident in the engines before any side starts. */
    public enum InitialResidents {
        /** No items. */
        NONE,
        /** The items that the static plan assigns to each engine. */
        PRELOADED
    }
}
