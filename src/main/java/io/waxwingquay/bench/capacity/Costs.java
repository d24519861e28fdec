package io.waxwingquay.bench.capacity;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.membership.MemberTable;
import io.waxwingquay.membership.Side;
import io.waxwingquay.placement.DemandThresholds;
import io.waxwingquay.placement.PlacementInput;
import io.waxwingquay.placement.PlacementStrategy;
import io.waxwingquay.placement.Plan;
import io.waxwingquay.routing.LoadTracker;
import io.waxwingquay.routing.RouteQuery;
import io.waxwingquay.routing.Router;
import io.waxwingquay.routing.RoutingPolicy;
import io.waxwingquay.routing.SideIndex;
import io.waxwingquay.transport.Connections;
import io.waxwingquay.transport.SideProtocol;
import io.waxwingquay.transport.ThriftConnections;
import io.waxwingquay.transport.ThriftServer;
import io.waxwingquay.transport.generated.AttemptState;
import io.waxwingquay.transport.generated.Chunk;
import io.waxwingquay.transport.generated.LoadReport;
import io.waxwingquay.transport.generated.PollAnswer;
import io.waxwingquay.transport.generated.PollRequest;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Measures record sizes, heap and processor time of single components at rising sizes. */
final class Costs {

    private static final int ITEMS_PER_SIDE = 8;
    private static final int MODELS = 620;
    private static final int SIDES = 2_400;
    private static final List<Integer> SIDE_COUNTS = List.of(150, 300, 600, 1_200, 2_400);
    private static final int WARM_UP_POLLS = 10_000;
    private static final long POLL_WAIT_MILLIS = 250;

    private Costs() {}

    static Stream<StepTable> measureAll() {
        return Stream.<Supplier<StepTable>>of(
                        Costs::recordBytes,
                        Costs::recordHeap,
                        Costs::snapshotMicros,
                        Costs::gossipRoundMicros,
                        Costs::routingMicros,
                        Costs::planMicrosBySides,
                        Costs::planMicrosByModels,
                        Costs::pollMicros,
                        Costs::connectionHeap)
                .map(Supplier::get);
    }

    private static StepTable recordBytes() {
        return StepTable.measure(
                "bytes of a side record",
                "items in it",
                List.of(0, 4, 8, 16, 32, 64),
                items -> SyntheticSides.sizeBytes(SyntheticSides.record(17, (int) items, MODELS)));
    }

    private static StepTable recordHeap() {
        return StepTable.measure(
                "heap bytes of a member table, " + ITEMS_PER_SIDE + " items a side",
                "sides",
                SIDE_COUNTS,
                sides -> Meter.heapBytes((int) sides, count -> SyntheticSides.table(count, ITEMS_PER_SIDE, MODELS)));
    }

    private static StepTable snapshotMicros() {
        return StepTable.measure(
                "processor microseconds of a membership snapshot after one change", "sides", SIDE_COUNTS, sides -> {
                    MemberTable table = SyntheticSides.table((int) sides, ITEMS_PER_SIDE, MODELS);
                    AtomicLong version = new AtomicLong(1);
                    return Meter.threadMicros(100, () -> {
                        table.publish(
                                SyntheticSides.record(0, ITEMS_PER_SIDE, MODELS).setVersion(version.incrementAndGet()));
                        table.sides();
                    });
                });
    }

    /** Measures an idle gossip round at both ends, each of which knows as many sides. */
    private static StepTable gossipRoundMicros() {
        return StepTable.measure(
                "processor microseconds of an idle gossip round, both ends together", "sides", SIDE_COUNTS, sides -> {
                    GossipSimulation pair = GossipSimulation.ofPair((int) sides, ITEMS_PER_SIDE);
                    return Meter.threadMicros(100, pair::round);
                });
    }

    private static StepTable routingMicros() {
        return StepTable.measure(
                "processor microseconds of a routing decision over " + MODELS + " models",
                "sides",
                SIDE_COUNTS,
                sides -> {
                    MemberTable table = SyntheticSides.table((int) sides, ITEMS_PER_SIDE, MODELS);
                    SideIndex.Cache index = new SideIndex.Cache();
                    LoadTracker tracker = trackerWithReports((int) sides);
                    Router router = new Router(RoutingPolicy.named("waxwingquay"));
                    Random random = new Random(7);
                    return Meter.threadMicros(200, () -> decide(table, index, tracker, router, random));
                });
    }

    private static void decide(
            MemberTable table, SideIndex.Cache index, LoadTracker tracker, Router router, Random random) {
        List<String> items = List.of(SyntheticSides.itemName(random.nextInt(MODELS)));
        RouteQuery query = new RouteQuery(
                SyntheticSides.SERVICE, SyntheticSides.dataCentre(0), items, random.nextLong(), 1, Set.of());
        List<Side> considered = router.policy().relevantSides(query, index.of(table.sides()));
        router.candidates(query, tracker.views(considered, 1_000), random);
    }

    private static LoadTracker trackerWithReports(int sides) {
        LoadTracker tracker = new LoadTracker();
        IntStream.range(0, sides)
                .forEach(index -> tracker.recordReport(
                        SyntheticSides.name(index),
                        new LoadReport(index % 9, index % 3, index % 700, 900.0, 1L << 34, 5),
                        900));
        return tracker;
    }

    private static StepTable planMicrosBySides() {
        Bundle bundle = SyntheticSides.bundle(MODELS);
        return StepTable.measure(
                "processor microseconds of a placement plan of " + MODELS + " models",
                "sides",
                SIDE_COUNTS,
                sides -> planMicros(bundle, (int) sides));
    }

    private static StepTable planMicrosByModels() {
        return StepTable.measure(
                "processor microseconds of a placement plan over " + SIDES + " sides",
                "models",
                List.of(40, 80, 155, 310, 620),
                models -> planMicros(SyntheticSides.bundle((int) models), SIDES));
    }

    private static double planMicros(Bundle bundle, int sides) {
        MemberTable table =
                SyntheticSides.table(sides, ITEMS_PER_SIDE, bundle.models().size());
        PlacementStrategy strategy = PlacementStrategy.named("planned", DemandThresholds.DEFAULT);
        return Meter.threadMicros(
                2,
                () -> strategy.plan(
                        PlacementInput.of(bundle, SyntheticSides.SERVICE, table.sides(), Plan.EMPTY, 1_000)));
    }

    /** Measures both ends of a poll together, since client and server run in this process. */
    private static StepTable pollMicros() {
        try (ThriftServer server =
                        ThriftServer.bind(new HostPort("127.0.0.1", 0)).serveSide(pollResponder());
                Connections connections = ThriftConnections.builder().build()) {
            SideProtocol side = connections.to(server.address());
            Meter.processMicros(WARM_UP_POLLS, () -> side.poll(new PollRequest("attempt", 4, POLL_WAIT_MILLIS))
                    .join());
            return StepTable.measure(
                    "processor microseconds of a poll over loopback, both ends together",
                    "chunks in the answer",
                    List.of(0, 1, 4, 16, 64),
                    chunks -> Meter.processMicros(
                            3_000, () -> side.poll(new PollRequest("attempt", (long) chunks, POLL_WAIT_MILLIS))
                                    .join()));
        }
    }

    private static StepTable connectionHeap() {
        return StepTable.measure(
                "heap bytes of open connections, both ends together", "connections", List.of(8, 16, 32, 64), count -> {
                    List<AutoCloseable> open = new ArrayList<>();
                    double heapBytes = Meter.heapBytes((int) count, ignored -> openConnections((int) count, open));
                    open.forEach(Costs::close);
                    return heapBytes;
                });
    }

    /** Opens one server and a client for each connection, since each client keeps connections of its own. */
    private static Object openConnections(int count, List<AutoCloseable> open) {
        ThriftServer server = ThriftServer.bind(new HostPort("127.0.0.1", 0)).serveSide(pollResponder());
        for (int index = 0; index < count; index++) {
            Connections connections = ThriftConnections.builder().build();
            connections
                    .to(server.address())
                    .poll(new PollRequest("attempt", 0, POLL_WAIT_MILLIS))
                    .join();
            open.add(connections);
        }
        open.add(server);
        return open;
    }

    private static void close(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception failure) {
            throw new IllegalStateException("a connection of the measurement did not close", failure);
        }
    }

    /** Returns a side that answers a poll with as many one-token chunks as the offset of the poll. */
    private static SideProtocol pollResponder() {
        return (SideProtocol) Proxy.newProxyInstance(
                SideProtocol.class.getClassLoader(),
                new Class<?>[] {SideProtocol.class},
                (proxy, method, arguments) -> CompletableFuture.completedFuture(
                        arguments != null && arguments[0] instanceof PollRequest poll ? answer(poll) : Boolean.TRUE));
    }

    private static PollAnswer answer(PollRequest poll) {
        List<Chunk> chunks = IntStream.range(0, (int) poll.getFromOffset())
                .mapToObj(index -> new Chunk(index, ByteBuffer.wrap(new byte[] {'t', 'o', 'k', ' '}), 1))
                .toList();
        return new PollAnswer().setState(AttemptState.RUNNING).setChunks(chunks).setLoad(new LoadReport());
    }
}
