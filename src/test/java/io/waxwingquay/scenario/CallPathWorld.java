package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.waxwingquay.bench.Caller;
import io.waxwingquay.bench.CallerAnswer;
import io.waxwingquay.bench.SettingsText;
import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.BundleAcceptance;
import io.waxwingquay.bundle.BundleArchive;
import io.waxwingquay.bundle.BundleDocument;
import io.waxwingquay.bundle.BundleSigner;
import io.waxwingquay.bundle.BundleSource;
import io.waxwingquay.bundle.KeyCodec;
import io.waxwingquay.bundle.TrustedKeys;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import io.waxwingquay.entry.EntryNode;
import io.waxwingquay.placement.PlacementInput;
import io.waxwingquay.placement.Plan;
import io.waxwingquay.process.EntryProcess;
import io.waxwingquay.process.SideProcess;
import io.waxwingquay.settings.EntrySettings;
import io.waxwingquay.settings.SideSettings;
import io.waxwingquay.side.AdmissionRule;
import io.waxwingquay.standin.FaultInjectingProxy;
import io.waxwingquay.standin.ModelEngineStandin;
import io.waxwingquay.standin.PlainServiceStandin;
import io.waxwingquay.standin.PlatformStandin;
import io.waxwingquay.standin.StandinText;
import io.waxwingquay.store.HttpObjectStore;
import io.waxwingquay.store.HttpTableService;
import io.waxwingquay.testing.Await;
import io.waxwingquay.transport.Connections;
import io.waxwingquay.transport.SideProtocol;
import io.waxwingquay.transport.ThriftConnections;
import java.nio.charset.StandardCharsets;
import java.security.KeyPair;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.eclipse.jetty.client.HttpClient;

/**
 * Sides and entries in this JVM, with a link for fault injection in front of every target and of every side.
 *
 * <p>Entry nodes 0 and 1 reach the sides over links. Entry processes 0 and 1 are complete and connect to the sides
 * directly; the entry nodes use the membership of entry process 0. The random seed of the entry nodes is 11.
 */
final class CallPathWorld implements AutoCloseable {

    static final long DEADLINE_MILLIS = 15_000L;
    private static final String LOOPBACK = "127.0.0.1";
    private static final int ENTRIES = 2;
    private static final long SEED = 11L;
    private static final long TABLE_TIMEOUT_MILLIS = 1_000L;
    private static final long PERMIT_LEASE_MILLIS = 500L;
    private static final List<Integer> ANY_PORTS = List.of(0, 0, 0);

    /** Gives each model a choice of targets; placement is not what these scenarios test. */
    private static final SideProcess.Decisions EVERY_MODEL_ON_EVERY_SIDE =
            new SideProcess.Decisions(CallPathWorld::planEveryModelEverywhere, AdmissionRule.WITH_RUN_TIME);

    private final String document;
    private final Bundle bundle;
    private final PlatformStandin platform = PlatformStandin.builder().start();
    private final KeyPair operatorKey = KeyCodec.generate();
    private final SettingsText settingsTexts = new SettingsText(
            new HostPort(LOOPBACK, platform.port()),
            KeyCodec.encode(operatorKey.getPublic()),
            1,
            PERMIT_LEASE_MILLIS,
            0L);
    private final HttpClient httpClient = HttpCalls.startClient(16, TABLE_TIMEOUT_MILLIS);
    private final Caller caller = new Caller();
    private final Map<String, ModelEngineStandin> engines = new LinkedHashMap<>();
    private final Map<String, PlainServiceStandin> plainServices = new LinkedHashMap<>();
    private final Map<String, FaultInjectingProxy> targetLinks = new LinkedHashMap<>();
    private final Map<String, SideProcess> sides = new LinkedHashMap<>();
    private final Map<HostPort, FaultInjectingProxy> sideLinks = new ConcurrentHashMap<>();
    private final List<EntryProcess> entryProcesses = new ArrayList<>();
    private final List<EntryNode> entryNodes = new ArrayList<>();
    private final List<ThriftConnections> connections = new ArrayList<>();
    private final List<MeterRegistry> meters = new ArrayList<>();

    private CallPathWorld(int engineCount, int plainCount) {
        this.document = ProcessWorld.BUNDLE
                .replace("replicas = 2", "replicas = " + engineCount)
                .replace("replicas = 1", "replicas = " + plainCount);
        this.bundle = BundleDocument.parse("bundle", document.getBytes(StandardCharsets.UTF_8));
    }

    static CallPathWorld start(int engineCount, int plainCount) throws Exception {
        CallPathWorld world = new CallPathWorld(engineCount, plainCount);
        try {
            world.startAll();
            return world;
        } catch (Exception | AssertionError failure) {
            world.close();
            throw failure;
        }
    }

    PlatformStandin platform() {
        return platform;
    }

    ModelEngineStandin engine(int replica) {
        return engines.get("studio-" + replica);
    }

    List<ModelEngineStandin> engines() {
        return List.copyOf(engines.values());
    }

    PlainServiceStandin plainService(int replica) {
        return plainServices.get("booking-" + replica);
    }

    SideProcess side(String name) {
        return sides.get(name);
    }

    FaultInjectingProxy targetLink(String name) {
        return targetLinks.get(name);
    }

    /** Returns the link over which entry nodes 0 and 1 reach a side. */
    FaultInjectingProxy sideLink(String name) {
        return linkTo(sides.get(name).address());
    }

    /** Returns the address for callers of an entry node that reaches the sides over links. */
    HostPort entryAddress(int number) {
        return entryNodes.get(number).address();
    }

    HostPort entryProcessAddress(int number) {
        return entryProcesses.get(number).callerAddress();
    }

    /** Clears every fault of stand-ins and links, and waits until all sides accept work. */
    void heal() throws Exception {
        platform.faults().clear();
        engines.values().forEach(engine -> engine.faults().clear());
        plainServices.values().forEach(plain -> plain.faults().clear());
        Stream.concat(targetLinks.values().stream(), sideLinks.values().stream())
                .forEach(link -> {
                    link.heal();
                    link.delayMillis(0);
                });
        for (EntryProcess process : entryProcesses) {
            Await.until(() -> seesEverySideServing(process));
        }
    }

    /** Makes the address of a target refuse connections until {@link #reopenTarget}. */
    void closeTarget(String name) {
        targetLinks.get(name).close();
    }

    void reopenTarget(String name) {
        int port = targetLinks.get(name).port();
        int target = plainServices.get(name).port();
        targetLinks.put(
                name, FaultInjectingProxy.between(new HostPort(LOOPBACK, port), new HostPort(LOOPBACK, target)));
    }

    /** Closes an entry abruptly, as when its process dies: its requests in flight are dropped. */
    void closeEntry(int number) {
        entryNodes.get(number).close();
    }

    void stopSide(String name) {
        sides.get(name).close();
    }

    /** Starts a side again, in its next epoch, and waits until it is ready. */
    void restartSide(String name) throws Exception {
        String service = name.substring(0, name.lastIndexOf('-'));
        int replica = Integer.parseInt(name.substring(name.lastIndexOf('-') + 1));
        startSide(bundle.service(service).orElseThrow(), replica);
        Await.until(() -> sides.get(name).isReady());
    }

    /** Replaces a plain service with one at the same address that remembers no earlier call. */
    void replacePlain(int replica) {
        String name = "booking-" + replica;
        HostPort address = new HostPort(LOOPBACK, plainServices.get(name).port());
        plainServices.get(name).close();
        plainServices.put(name, PlainServiceStandin.builder().address(address).start());
    }

    CompletableFuture<CallerAnswer> sendCompletion(HostPort entry, String prompt, int tokens) {
        return caller.complete(
                entry, new Caller.Completion("throwing", Optional.empty(), prompt, tokens, 0, DEADLINE_MILLIS));
    }

    CompletableFuture<CallerAnswer> sendDeposit(HostPort entry, String key) {
        return sendDeposit(entry, key, DEADLINE_MILLIS);
    }

    CompletableFuture<CallerAnswer> sendDeposit(HostPort entry, String key, long deadlineMillis) {
        return caller.call(
                entry,
                new Caller.ServiceCall(
                        "booking", "pay-deposit", Optional.of(key), "{\"key\":\"" + key + "\"}", deadlineMillis));
    }

    static String expectedText(String prompt, int tokens) {
        return StandinText.answer("model:throwing@1", Optional.empty(), prompt, tokens);
    }

    /** Counts the runs of a key over all current plain services. */
    int runCount(String key) {
        return plainServices.values().stream()
                .mapToInt(plain -> plain.stats().runsByKey().getOrDefault(key, 0))
                .sum();
    }

    /** Returns how often an entry node resumed an attempt after a lost connection. */
    double resumeCount(int entry) {
        return meters.get(entry).find("waxwingquay.resumes").counters().stream()
                .mapToDouble(counter -> counter.count())
                .sum();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        entryNodes.forEach(EntryNode::close);
        connections.forEach(ThriftConnections::close);
        entryProcesses.forEach(EntryProcess::close);
        sides.values().forEach(SideProcess::close);
        sideLinks.values().forEach(FaultInjectingProxy::close);
        targetLinks.values().forEach(FaultInjectingProxy::close);
        engines.values().forEach(ModelEngineStandin::close);
        plainServices.values().forEach(PlainServiceStandin::close);
        platform.close();
        caller.close();
        Await.closeUnchecked(httpClient::stop);
    }

    private void startAll() throws Exception {
        submitBundle();
        for (Bundle.Service service : bundle.services()) {
            for (int replica = 0; replica < service.replicas(); replica++) {
                startTarget(service, replica);
                startSide(service, replica);
            }
        }
        for (int number = 0; number < ENTRIES; number++) {
            String text = settingsTexts.entry(number, "waxwingquay", ANY_PORTS);
            entryProcesses.add(EntryProcess.start(EntrySettings.parse("entry", text.getBytes(StandardCharsets.UTF_8))));
        }
        for (EntryProcess process : entryProcesses) {
            Await.until(() -> seesEverySideServing(process));
        }
        for (int number = 0; number < ENTRIES; number++) {
            startLinkedEntry();
        }
    }

    private boolean seesEverySideServing(EntryProcess process) {
        return process.bundleVersion() == 1
                && process.membership().sides().size() == sides.size()
                && process.membership().sides().stream()
                        .allMatch(side -> side.acceptsWork()
                                && (side.service().equals("booking")
                                        || side.residentItems().contains("model:throwing@1")));
    }

    private void submitBundle() {
        HostPort address = new HostPort(LOOPBACK, platform.port());
        BundleArchive archive = new BundleArchive(
                new HttpTableService(httpClient, address, TABLE_TIMEOUT_MILLIS),
                new HttpObjectStore(httpClient, address, TABLE_TIMEOUT_MILLIS));
        BundleSigner signer = BundleSigner.of(operatorKey.getPrivate(), operatorKey.getPublic());
        BundleAcceptance.Outcome outcome = new BundleAcceptance(
                        archive, TrustedKeys.ofRoots(List.of(KeyCodec.encode(operatorKey.getPublic()))))
                .submit(signer.sign(document.getBytes(StandardCharsets.UTF_8)))
                .join();
        assertEquals(BundleAcceptance.Verdict.ACCEPTED, outcome.verdict());
    }

    private void startTarget(Bundle.Service service, int replica) {
        String name = SettingsText.sideName(service.name(), replica);
        int port;
        if (service.kind() == Bundle.Kind.PLAIN) {
            plainServices.put(name, PlainServiceStandin.builder().start());
            port = plainServices.get(name).port();
        } else {
            engines.put(
                    name,
                    ModelEngineStandin.builder()
                            .capacityBytes(service.memoryBytes())
                            .ignoringFences()
                            .timeScale(0.5)
                            .start());
            port = engines.get(name).port();
        }
        targetLinks.put(name, FaultInjectingProxy.to(new HostPort(LOOPBACK, port)));
    }

    private void startSide(Bundle.Service service, int replica) {
        String name = SettingsText.sideName(service.name(), replica);
        HostPort target = new HostPort(LOOPBACK, targetLinks.get(name).port());
        String text = settingsTexts.side(service, replica, target, ANY_PORTS);
        SideSettings settings = SideSettings.parse(name, text.getBytes(StandardCharsets.UTF_8));
        sides.put(name, SideProcess.start(settings, EVERY_MODEL_ON_EVERY_SIDE));
    }

    private void startLinkedEntry() {
        ThriftConnections directConnections = ThriftConnections.builder().build();
        MeterRegistry registry = new SimpleMeterRegistry();
        connections.add(directConnections);
        meters.add(registry);
        entryNodes.add(EntryNode.builder()
                .configuration(new io.waxwingquay.entry.EntryConfiguration(
                        LOOPBACK, 0, "dc-1", "round-robin", 30_000, 600_000, 1 << 20, 64 << 10, 250, 1.0, 64))
                .bundles(new FixedBundle())
                .membership(entryProcesses.get(0).membership())
                .connections(new LinkedConnections(directConnections))
                .table(new HttpTableService(httpClient, new HostPort(LOOPBACK, platform.port()), TABLE_TIMEOUT_MILLIS))
                .meters(registry)
                .random(new Random(SEED))
                .build()
                .start());
    }

    private static Plan planEveryModelEverywhere(PlacementInput input) {
        List<String> items = input.bundle().models().stream()
                .filter(model -> model.service().equals(input.service()))
                .map(Bundle.Model::item)
                .toList();
        Map<String, Plan.Share> shares = input.sides().stream()
                .collect(Collectors.toMap(PlacementInput.LiveSide::id, side -> new Plan.Share(items, Set.of())));
        return new Plan(shares, Map.of(), List.of());
    }

    private FaultInjectingProxy linkTo(HostPort address) {
        return sideLinks.computeIfAbsent(address, FaultInjectingProxy::to);
    }

    /** Bundle source that always returns the bundle of this world. */
    private final class FixedBundle implements BundleSource {

        @Override
        public Optional<Bundle> current() {
            return Optional.of(bundle);
        }

        @Override
        public void onAdopted(Consumer<Bundle> listener) {
            listener.accept(bundle);
        }
    }

    /** Connections that reach every side over its link. */
    private final class LinkedConnections implements Connections {

        private final Connections direct;

        private LinkedConnections(Connections direct) {
            this.direct = direct;
        }

        @Override
        public SideProtocol to(HostPort address) {
            return direct.to(new HostPort(LOOPBACK, linkTo(address).port()));
        }

        @Override
        public void close() {
            direct.close();
        }
    }
}
