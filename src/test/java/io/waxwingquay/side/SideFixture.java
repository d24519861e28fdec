package io.waxwingquay.side;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.BundleSource;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.engine.PlainService;
import io.waxwingquay.ledger.MemoryLedger;
import io.waxwingquay.membership.Membership;
import io.waxwingquay.membership.Side;
import io.waxwingquay.permit.Permits;
import io.waxwingquay.suspect.SuspectRegistry;
import io.waxwingquay.transport.Connections;
import io.waxwingquay.transport.SideProtocol;
import io.waxwingquay.transport.generated.ModelCall;
import io.waxwingquay.transport.generated.PollAnswer;
import io.waxwingquay.transport.generated.PollRequest;
import io.waxwingquay.transport.generated.ServiceCall;
import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SideState;
import io.waxwingquay.transport.generated.Submission;
import io.waxwingquay.transport.generated.SuspectNotice;
import io.waxwingquay.transport.generated.SuspectRecord;
import io.waxwingquay.transport.generated.TargetKind;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** A side process with fake dependencies, whose order loop runs only when a test ticks it. */
final class SideFixture implements AutoCloseable {

    static final long CAPACITY_BYTES = 100L;
    static final String MODEL_A = "model:a@1";
    static final String MODEL_B = "model:b@1";
    static final String ADAPTER = "adapter:a/x@1";

    final ManualClock clock = new ManualClock();
    final FakeEngine engine;
    final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    final RecordingMembership membership = new RecordingMembership();
    final SettableSuspects suspects = new SettableSuspects();
    final List<SuspectNotice> notices = new CopyOnWriteArrayList<>();
    final List<String> events = new CopyOnWriteArrayList<>();
    Runnable onNotice = () -> {};
    List<String> wantedItems = List.of(MODEL_A);
    Set<String> protectedItems = Set.of();
    int freePermits = 10;
    int maxConcurrent = 4;
    SideLimits limits = SideLimits.defaults();
    SideNode node;

    SideFixture() {
        this(new FakeEngine(CAPACITY_BYTES));
    }

    SideFixture(FakeEngine engine) {
        this.engine = engine;
    }

    SideFixture start(long epoch, boolean... unfenced) {
        MemoryLedger ledger = unfenced.length > 0
                ? MemoryLedger.forUnfencedEngine(CAPACITY_BYTES, clock, limits.quarantineMillis())
                : MemoryLedger.forFencedEngine(CAPACITY_BYTES, clock, limits.quarantineMillis());
        node = builder(epoch).forModelEngine(engine, ledger);
        tick();
        return this;
    }

    SideFixture startPlain(PlainService service) {
        node = builder(1L).forPlainService(service);
        tick();
        return this;
    }

    /** Ticks, completes the orders that were sent, and ticks again to read the result. */
    SideFixture tickAndCompleteOrders() {
        tick();
        engine.completeOrders();
        tick();
        return this;
    }

    void tick() {
        clock.advance(1L);
        await(node.tick());
    }

    PollAnswer poll(String attemptId, long fromOffset) {
        return await(node.poll(new PollRequest(attemptId, fromOffset, 0L)));
    }

    static <T> T await(CompletableFuture<T> future) {
        return future.orTimeout(20L, TimeUnit.SECONDS).join();
    }

    static Submission modelCall(String attemptId, String model) {
        Submission submission = submission(attemptId);
        submission.setModel(new ModelCall(model, "prompt", 10, 1, 0L));
        return submission;
    }

    Submission plainCall(String attemptId, long epoch) {
        Submission submission = submission(attemptId);
        submission.setSideEpoch(epoch);
        submission.setIssuedAtEpochMillis(clock.epochMillis());
        submission.setPlain(new ServiceCall("pay", ByteBuffer.wrap(new byte[] {1}), "text/plain", true));
        return submission;
    }

    private static Submission submission(String attemptId) {
        return new Submission("request-" + attemptId, attemptId, "studio", 60_000L, 0L, 0L, attemptId.hashCode());
    }

    private SideNodeBuilder builder(long epoch) {
        return new SideNodeBuilder(new SideIdentity("side-1", new HostPort("127.0.0.1", 1), "dc-1", "studio", 0, epoch))
                .limits(limits)
                .clock(clock)
                .random(RandomGenerator.of("L64X128MixRandom"))
                .bundles(new FixedBundleSource())
                .membership(membership)
                .suspects(suspects)
                .connections(new RecordingConnections())
                .permits(new CountingPermits())
                .wantedItems(bundle -> new WantedItems.Wanted(wantedItems, protectedItems))
                .meters(meters);
    }

    Bundle bundle() {
        Bundle.Service service =
                new Bundle.Service("studio", Bundle.Kind.MODEL, 1, CAPACITY_BYTES, 1, false, 2, 1.0, 2, maxConcurrent);
        return new Bundle(
                1L,
                new Bundle.Keys(List.of(), List.of()),
                List.of(service),
                List.of(new Bundle.Model("a", "studio", "1", 60L, 1), new Bundle.Model("b", "studio", "1", 60L, 1)),
                List.of(new Bundle.Adapter("x", "a", "1", 10L)),
                List.of());
    }

    @Override
    public void close() {
        node.close();
    }

    private final class FixedBundleSource implements BundleSource {

        @Override
        public Optional<Bundle> current() {
            return Optional.of(bundle());
        }

        @Override
        public void onAdopted(Consumer<Bundle> listener) {}
    }

    /** A membership that records what was published. */
    static final class RecordingMembership implements Membership {

        final List<SideRecord> published = new CopyOnWriteArrayList<>();
        final List<Side> known = new CopyOnWriteArrayList<>();

        void add(String id, long epoch, String... items) {
            known.add(new Side(
                    id,
                    new HostPort("127.0.0.1", 2),
                    "dc-1",
                    "studio",
                    1,
                    TargetKind.MODEL_ENGINE,
                    epoch,
                    1L,
                    SideState.SERVING,
                    CAPACITY_BYTES,
                    Set.of(items),
                    Map.of(),
                    true));
        }

        @Override
        public List<Side> sides() {
            return List.copyOf(known);
        }

        @Override
        public Optional<Side> side(String sideId) {
            return known.stream().filter(side -> side.id().equals(sideId)).findFirst();
        }

        @Override
        public void publish(SideRecord record) {
            published.add(record);
        }

        @Override
        public void noteLeaving(String sideId, long epoch) {}

        @Override
        public void noteReached(String sideId, long epoch, boolean reached) {}
    }

    /** A record of suspects whose standings a test sets. */
    final class SettableSuspects implements SuspectRegistry {

        final Map<Long, Standing> standings = new HashMap<>();
        final List<Long> crashed = new ArrayList<>();

        @Override
        public synchronized Standing standing(long fingerprint) {
            return standings.getOrDefault(fingerprint, Standing.CLEAR);
        }

        @Override
        public synchronized List<SuspectRecord> recordCrash(String crashId, Collection<Long> fingerprints) {
            events.add("recorded");
            crashed.addAll(fingerprints);
            return fingerprints.stream()
                    .map(fingerprint -> new SuspectRecord(fingerprint, Set.of(crashId), 0L, false))
                    .toList();
        }

        @Override
        public void clear(long fingerprint) {}

        @Override
        public void merge(List<SuspectRecord> records) {}

        @Override
        public List<SuspectRecord> snapshot() {
            return List.of();
        }
    }

    private final class CountingPermits implements Permits {

        @Override
        public CompletableFuture<Optional<Permit>> acquire(Limit limit) {
            if (freePermits == 0) {
                return CompletableFuture.completedFuture(Optional.empty());
            }
            freePermits--;
            return CompletableFuture.completedFuture(Optional.of(() -> freePermits++));
        }
    }

    private final class RecordingConnections implements Connections {

        @Override
        public SideProtocol to(HostPort address) {
            return (SideProtocol) Proxy.newProxyInstance(
                    getClass().getClassLoader(), new Class<?>[] {SideProtocol.class}, (proxy, method, args) -> {
                        events.add("pushed");
                        onNotice.run();
                        notices.add((SuspectNotice) args[0]);
                        return CompletableFuture.completedFuture(true);
                    });
        }

        @Override
        public void close() {}
    }
}
