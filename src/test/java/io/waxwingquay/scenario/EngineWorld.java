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
 * One engine stand-in over HTTP with its current and earlier sides, all on one virtual clock that advances on request.
 */
final class EngineWorld implements AutoCloseable {

    static final long CAPACITY_BYTES = 100L;
    private static final long MODEL_BYTES = 60L;
    private static final long LOAD_MICROS = 300_000L;
    private static final long TICK_MILLIS = 500L;
    private static final long TIMEOUT_MILLIS = 5_000L;
    private static final long MICROS_PER_MILLI = 1_000L;
    private static final SideLimits SIDE_LIMITS = SideLimits.defaults();

    private final VirtualTime time = new VirtualTime();
    private final HttpClient client = HttpCalls.startClient(8, TIMEOUT_MILLIS);
    private final MemberTable memberTable = new MemberTable(time, MemberTable.Timing.DEFAULT);
    private final List<CompletableFuture<?>> pendingOrders = new CopyOnWriteArrayList<>();
    private final List<SideNode> sides = new ArrayList<>();
    private final List<SideNode> activeSides = new ArrayList<>();
    private final boolean fenced;
    private final ModelEngineStandin engine;
    private long nextOrderDelayMillis;
    private long epoch;
    private String[] newestWantedItems = {};

    EngineWorld(boolean fenced) {
        this.fenced = fenced;
        ModelEngineStandin.Builder builder = ModelEngineStandin.builder()
                .capacityBytes(CAPACITY_BYTES)
                .timer(time)
                .weights(WeightSource.withFixedLatency(time, LOAD_MICROS));
        this.engine = (fenced ? builder : builder.ignoringFences()).start();
    }

    ModelEngineStandin engine() {
        return engine;
    }

    /** Returns a snapshot of the newest side's memory ledger. */
    MemoryLedger.Snapshot newestSideMemory() {
        return sides.get(sides.size() - 1).memory().orElseThrow();
    }

    /** Starts a side in the next epoch, which wants one model, and runs one tick. */
    void startSide(String model) throws Exception {
        epoch++;
        HttpModelEngine engineClient =
                new HttpModelEngine(client, new HostPort("127.0.0.1", engine.port()), TIMEOUT_MILLIS, TIMEOUT_MILLIS);
        MemoryLedger ledger = fenced
                ? MemoryLedger.forFencedEngine(CAPACITY_BYTES, time, SIDE_LIMITS.quarantineMillis())
                : MemoryLedger.forUnfencedEngine(CAPACITY_BYTES, time, SIDE_LIMITS.quarantineMillis());
        SideNode node = sideBuilder(model).forModelEngine(new TrackingEngine(engineClient), ledger);
        sides.add(node);
        activeSides.add(node);
        tick();
    }

    /** Changes the model that the newest side wants, and runs one tick. */
    void changeWantedModel(String model) throws Exception {
        newestWantedItems[0] = itemOf(model);
        tick();
    }

    static String itemOf(String model) {
        return "model:" + model + "@1";
    }

    /** Kills the newest side; none of its work continues. */
    void killNewestSide() {
        pauseNewestSide().close();
    }

    /** Pauses the newest side, which then gets no ticks. */
    SideNode pauseNewestSide() {
        return activeSides.remove(activeSides.size() - 1);
    }

    /** Resumes the oldest side, and runs one tick. */
    void resumeOldestSide() throws Exception {
        activeSides.add(sides.get(0));
        tick();
    }

    /** Delays the next order of any side on its way to the engine; orders already under way arrive meanwhile. */
    void delayNextOrder(long millis) {
        nextOrderDelayMillis = millis;
    }

    void advance(long millis) throws Exception {
        for (long passedMillis = 0; passedMillis < millis; passedMillis += TICK_MILLIS) {
            time.advance(TICK_MILLIS);
            tick();
        }
    }

    private void tick() throws Exception {
        for (SideNode node : activeSides) {
            Await.value(node.tick());
            for (CompletableFuture<?> order : pendingOrders) {
                Await.until(order::isDone);
            }
            pendingOrders.clear();
        }
    }

    private SideNodeBuilder sideBuilder(String model) {
        String[] wantedItems = {itemOf(model)};
        newestWantedItems = wantedItems;
        return new SideNodeBuilder(
                        new SideIdentity("studio-0", new HostPort("127.0.0.1", 1), "dc-1", "studio", 0, epoch))
                .limits(SIDE_LIMITS)
                .clock(time)
                .random(RandomGenerator.of("L64X128MixRandom"))
                .bundles(new FixedBundle())
                .membership(memberTable)
                .suspects(new SuspectTable(time, TIMEOUT_MILLIS, 1))
                .connections(new NoConnections())
                .permits(limit -> CompletableFuture.completedFuture(Optional.of((Permits.Permit) () -> {})))
                .wantedItems(bundle -> new Wanted(List.of(wantedItems), Set.of()))
                .meters(new SimpleMeterRegistry());
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        sides.forEach(SideNode::close);
        engine.close();
        Await.closeUnchecked(client::stop);
    }

    /** Clock of the sides and timer of the engine; tasks run when {@link #advance} reaches their time. */
    private static final class VirtualTime implements Clock, StandinTimer {

        private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
                Comparator.comparingLong(ScheduledTask::dueMicros).thenComparingLong(ScheduledTask::sequence));
        private long nowMicros = 1_000_000_000L;
        private long scheduledCount;

        @Override
        public synchronized long nowMicros() {
            return nowMicros;
        }

        @Override
        public synchronized void schedule(long delayMicros, Runnable task) {
            tasks.add(new ScheduledTask(nowMicros + delayMicros, scheduledCount++, task));
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
            Optional<ScheduledTask> next = pollDue(endMicros);
            while (next.isPresent()) {
                next.get().task().run();
                next = pollDue(endMicros);
            }
            synchronized (this) {
                nowMicros = endMicros;
            }
        }

        private synchronized Optional<ScheduledTask> pollDue(long endMicros) {
            if (tasks.isEmpty() || tasks.peek().dueMicros() > endMicros) {
                return Optional.empty();
            }
            ScheduledTask next = tasks.poll();
            nowMicros = Math.max(nowMicros, next.dueMicros());
            return Optional.of(next);
        }

        private record ScheduledTask(long dueMicros, long sequence, Runnable task) {}
    }

    /** Engine client that delays orders on request and keeps their answers, so that a tick can await them. */
    private final class TrackingEngine implements ModelEngine {

        private final ModelEngine delegate;

        private TrackingEngine(ModelEngine delegate) {
            this.delegate = delegate;
        }

        @Override
        public CompletableFuture<OrderAnswer> order(Order order) {
            long delayMillis = nextOrderDelayMillis;
            nextOrderDelayMillis = 0L;
            time.advance(delayMillis);
            CompletableFuture<OrderAnswer> answer = delegate.order(order);
            pendingOrders.add(answer);
            return answer;
        }

        @Override
        public AutoCloseable stream(Generation generation, long fromOffset, Listener listener) {
            return delegate.stream(generation, fromOffset, listener);
        }

        @Override
        public CompletableFuture<Void> cancel(String generationId) {
            return delegate.cancel(generationId);
        }

        @Override
        public CompletableFuture<Residency> residency() {
            return delegate.residency();
        }

        @Override
        public CompletableFuture<EngineLoad> loadReport() {
            return delegate.loadReport();
        }
    }

    private final class FixedBundle implements BundleSource {

        @Override
        public Optional<Bundle> current() {
            return Optional.of(new Bundle(
                    1L,
                    new Bundle.Keys(List.of(), List.of()),
                    List.of(new Bundle.Service(
                            "studio", Bundle.Kind.MODEL, 1, CAPACITY_BYTES, 1, fenced, 2, 1.0, 2, 4)),
                    List.of(
                            new Bundle.Model("a", "studio", "1", MODEL_BYTES, 1),
                            new Bundle.Model("b", "studio", "1", MODEL_BYTES, 1)),
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
