package io.waxwingquay.scenario;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.BundleSource;
import io.waxwingquay.common.Clock;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import io.waxwingquay.engine.HttpModelEngine;
import io.waxwingquay.engine.ModelEngine;
import io.waxwingquay.ledger.MemoryLedger;
import io.waxwingquay.membership.MemberTable;
import io.waxwingquay.permit.Permits;
import io.waxwingquay.side.SideIdentity;
import io.waxwingquay.side.SideLimits;
import io.waxwingquay.side.SideNode;
import io.waxwingquay.side.SideNodeBuilder;
import io.waxwingquay.side.WantedItems.Wanted;
import io.waxwingquay.standin.ModelEngineStandin;
import io.waxwingquay.standin.StandinTimer;
import io.waxwingquay.standin.WeightSource;
import io.waxwingquay.suspect.SuspectTable;
import io.waxwingquay.testing.Await;
import io.waxwingquay.transport.Connections;
import io.waxwingquay.transport.SideProtocol;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.client.HttpClient;

/**
 * One engine stand-in over HTTP and the real sides before it, old and new, on one time that moves when told to.
 */
final class EngineWorld implements AutoCloseable {

    static final long CAPACITY_BYTES = 100L;
    private static final long SIZE_BYTES = 60L;
    private static final long LOAD_MICROS = 300_000L;
    private static final long STEP_MILLIS = 500L;
    private static final long WAIT_MILLIS = 5_000L;
    private static final long MICROS_PER_MILLI = 1_000L;
    private static final SideLimits LIMITS = SideLimits.defaults();

    private final Time time = new Time();
    private final HttpClient client = HttpCalls.startClient(8, WAIT_MILLIS);
    private final MemberTable members = new MemberTable(time, MemberTable.Timing.DEFAULT);
    private final List<CompletableFuture<?>> orders = new CopyOnWriteArrayList<>();
    private final List<SideNode> sides = new ArrayList<>();
    private final List<SideNode> ticking = new ArrayList<>();
    private final boolean fenced;
    private final ModelEngineStandin engine;
    private long nextOrderWaitMillis;
    private long epoch;
    private String[] newestWanted = {};

    EngineWorld(boolean fenced) {
        this.fenced = fenced;
        ModelEngineStandin.Builder builder = ModelEngineStandin.builder()
                .capacityBytes(CAPACITY_BYTES)
                .timer(time)
                .weights(WeightSource.after(time, LOAD_MICROS));
        this.engine = (fenced ? builder : builder.ignoringFences()).start();
    }

    ModelEngineStandin engine() {
        return engine;
    }

    /** The newest side's ledger. */
    MemoryLedger.Snapshot memory() {
        return sides.get(sides.size() - 1).memory().orElseThrow();
    }

    /** Starts a side with a higher boot epoch, which wants one model. */
    void startSide(String model) throws Exception {
        epoch++;
        HttpModelEngine real =
                new HttpModelEngine(client, new HostPort("127.0.0.1", engine.port()), WAIT_MILLIS, WAIT_MILLIS);
        MemoryLedger ledger = fenced
                ? MemoryLedger.forFencedEngine(CAPACITY_BYTES, time, LIMITS.quarantineMillis())
                : MemoryLedger.forUnfencedEngine(CAPACITY_BYTES, time, LIMITS.quarantineMillis());
        SideNode node = builder(model).forModelEngine(new Watched(real), ledger);
        sides.add(node);
        ticking.add(node);
        tick();
    }

    /** Changes what the newest side wants. */
    void want(String model) throws Exception {
        newestWanted[0] = item(model);
        tick();
    }

    static String item(String model) {
        return "model:" + model + "@1";
    }

    /** Kills the newest side; nothing of it runs on. */
    void killSide() {
        pauseSide().close();
    }

    /** Pauses the newest side. */
    SideNode pauseSide() {
        return ticking.remove(ticking.size() - 1);
    }

    /** Lets the oldest side go on. */
    void resumeOldest() throws Exception {
        ticking.add(sides.get(0));
        tick();
    }

    /** The next order of any side reaches the engine only after so long, while older orders land meanwhile. */
    void holdNextOrder(long millis) {
        nextOrderWaitMillis = millis;
    }

    void pass(long millis) throws Exception {
        for (long done = 0; done < millis; done += STEP_MILLIS) {
            time.advance(STEP_MILLIS);
            tick();
        }
    }

    private void tick() throws Exception {
        for (SideNode node : ticking) {
            Await.value(node.tick());
            for (CompletableFuture<?> order : orders) {
                Await.until(order::isDone);
            }
            orders.clear();
        }
    }

    private SideNodeBuilder builder(String model) {
        String[] wanted = {item(model)};
        newestWanted = wanted;
        return new SideNodeBuilder(
                        new SideIdentity("studio-0", new HostPort("127.0.0.1", 1), "dc-1", "studio", 0, epoch))
                .limits(LIMITS)
                .clock(time)
                .random(RandomGenerator.of("L64X128MixRandom"))
                .bundles(new OneBundle())
                .membership(members)
                .suspects(new SuspectTable(time, WAIT_MILLIS, 1))
                .connections(new NoConnections())
                .permits(limit -> CompletableFuture.completedFuture(Optional.of((Permits.Permit) () -> {})))
                .wantedItems(bundle -> new Wanted(List.of(wanted), Set.of()))
                .meters(new SimpleMeterRegistry());
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        sides.forEach(SideNode::close);
        engine.close();
        Await.closeUnchecked(client::stop);
    }

    /** The time of the sides and of the engine. */
    private static final class Time implements Clock, StandinTimer {

        private final PriorityQueue<Step> steps =
                new PriorityQueue<>(Comparator.comparingLong(Step::dueMicros).thenComparingLong(Step::number));
        private long nowMicros = 1_000_000_000L;
        private long count;

        @Override
        public synchronized long nowMicros() {
            return nowMicros;
        }

        @Override
        public synchronized void after(long delayMicros, Runnable step) {
            steps.add(new Step(nowMicros + delayMicros, count++, step));
        }

        @Override
        public long monotonicMillis() {
            return nowMicros() / MICROS_PER_MILLI;
        }

        @Override
        public long epochMillis() {
            return monotonicMillis();
        }

        void advance(long millis) {
            long endMicros = nowMicros() + millis * MICROS_PER_MILLI;
            Optional<Step> next = takeDue(endMicros);
            while (next.isPresent()) {
                next.get().step().run();
                next = takeDue(endMicros);
            }
            synchronized (this) {
                nowMicros = endMicros;
            }
        }

        private synchronized Optional<Step> takeDue(long endMicros) {
            if (steps.isEmpty() || steps.peek().dueMicros() > endMicros) {
                return Optional.empty();
            }
            Step next = steps.poll();
            nowMicros = Math.max(nowMicros, next.dueMicros());
            return Optional.of(next);
        }

        private record Step(long dueMicros, long number, Runnable step) {}
    }

    /** The real client, whose orders can be waited for. */
    private final class Watched implements ModelEngine {

        private final ModelEngine real;

        private Watched(ModelEngine real) {
            this.real = real;
        }

        @Override
        public CompletableFuture<OrderAnswer> order(Order order) {
            long waitMillis = nextOrderWaitMillis;
            nextOrderWaitMillis = 0L;
            time.advance(waitMillis);
            CompletableFuture<OrderAnswer> answer = real.order(order);
            orders.add(answer);
            return answer;
        }

        @Override
        public AutoCloseable stream(Generation generation, long fromOffset, Listener listener) {
            return real.stream(generation, fromOffset, listener);
        }

        @Override
        public CompletableFuture<Void> cancel(String generationId) {
            return real.cancel(generationId);
        }

        @Override
        public CompletableFuture<Residency> residency() {
            return real.residency();
        }

        @Override
        public CompletableFuture<EngineLoad> load() {
            return real.load();
        }
    }

    private final class OneBundle implements BundleSource {

        @Override
        public Optional<Bundle> current() {
            return Optional.of(new Bundle(
                    1L,
                    new Bundle.Keys(List.of(), List.of()),
                    List.of(new Bundle.Service(
                            "studio", Bundle.Kind.MODEL, 1, CAPACITY_BYTES, 1, fenced, 2, 1.0, 2, 4)),
                    List.of(
                            new Bundle.Model("a", "studio", "1", SIZE_BYTES, 1),
                            new Bundle.Model("b", "studio", "1", SIZE_BYTES, 1)),
                    List.of(),
                    List.of()));
        }

        @Override
        public void onAdopted(Consumer<Bundle> listener) {}
    }

    private static final class NoConnections implements Connections {

        @Override
        public SideProtocol to(HostPort address) {
            throw new IllegalStateException("no other process in this scenario");
        }

        @Override
        public void close() {}
    }
}
