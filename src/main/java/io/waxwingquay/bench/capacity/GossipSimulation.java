package io.waxwingquay.bench.capacity;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.waxwingquay.common.Clock;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.membership.Gossip;
import io.waxwingquay.membership.MemberTable;
import io.waxwingquay.membership.Peers;
import io.waxwingquay.suspect.SuspectTable;
import io.waxwingquay.transport.Connections;
import io.waxwingquay.transport.SideProtocol;
import io.waxwingquay.transport.generated.GossipRequest;
import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SideState;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/** Simulates the gossip of many processes by direct calls, on one clock that advances in steps. */
final class GossipSimulation {

    private static final long STEP_MILLIS = 25;
    private static final long WAKE_INTERVAL_MILLIS = 250;
    private static final long WARM_UP_MILLIS = 20_000;
    private static final long SPREAD_TIMEOUT_MILLIS = 60_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final List<Node> nodes = new ArrayList<>();
    private final Map<HostPort, SideProtocol> protocols = new HashMap<>();
    private final Random random = new Random(20261202);
    private long nowMillis = 1_000;
    private int partitionedDataCentres;
    private final Clock clock = new Clock() {
        @Override
        public long monotonicMillis() {
            return nowMillis;
        }

        @Override
        public long epochMillis() {
            return nowMillis;
        }
    };

    /** Creates processes that each know the records of all others. */
    static GossipSimulation withAllRecords(int count, int items) {
        GossipSimulation simulation = new GossipSimulation(count, 0);
        List<SideRecord> records = IntStream.range(0, count)
                .mapToObj(index -> SyntheticSides.record(index, items, 620))
                .toList();
        simulation.nodes.forEach(node -> node.table.merge(records));
        simulation.advance(WARM_UP_MILLIS);
        return simulation;
    }

    /** Creates processes that each know some random others and no records, so that thousands fit on a machine. */
    static GossipSimulation withRandomSeeds(int count, int seedCount) {
        GossipSimulation simulation = new GossipSimulation(count, seedCount);
        simulation.advance(WARM_UP_MILLIS);
        return simulation;
    }

    /** Creates two processes that know many sides. The second answers for each side that the first contacts. */
    static GossipSimulation ofPair(int sides, int items) {
        GossipSimulation simulation = new GossipSimulation(2, 0);
        List<SideRecord> records = IntStream.range(0, sides)
                .mapToObj(index -> SyntheticSides.record(index, items, 620))
                .toList();
        simulation.nodes.forEach(node -> node.table.merge(records));
        IntStream.range(0, sides)
                .forEach(index -> simulation.protocols.put(
                        address(index), simulation.nodes.get(0).connections.proxy(1)));
        for (int round = 0; round < sides; round++) {
            simulation.nowMillis += WAKE_INTERVAL_MILLIS;
            simulation.round();
        }
        return simulation;
    }

    /** Runs one gossip round of the first process. */
    void round() {
        nodes.get(0).gossip.round().join();
    }

    private GossipSimulation(int count, int seedCount) {
        IntStream.range(0, count).forEach(index -> nodes.add(new Node(index, randomSeeds(count, seedCount))));
    }

    void advance(long millis) {
        for (long leftMillis = millis; leftMillis > 0; leftMillis -= STEP_MILLIS) {
            nowMillis += STEP_MILLIS;
            nodes.forEach(Node::step);
        }
    }

    /** Partitions the first data centres from the others until the next call; 0 heals the partition. */
    void partition(int dataCentres) {
        partitionedDataCentres = dataCentres;
    }

    long millisToSpreadBundle() {
        long version = nodes.get(0).bundleVersion + 1;
        nodes.get(0).bundleVersion = version;
        return millisUntilAll(node -> node.bundleVersion >= version);
    }

    long millisToSpreadLeaving(int side) {
        nodes.get(0).table.noteLeaving(SyntheticSides.name(side), 1);
        return millisUntilAll(
                node -> node.table.side(SyntheticSides.name(side)).orElseThrow().state() == SideState.LEAVING);
    }

    void publish(int side, long version, int items) {
        nodes.get(side).table.publish(SyntheticSides.record(side, items, 620).setVersion(version));
    }

    long millisUntilAllHave(int side, long version) {
        return millisUntilAll(
                node -> node.table.side(SyntheticSides.name(side)).orElseThrow().version() >= version);
    }

    /** Returns the average traffic of a process while some work runs and the rest of a duration passes. */
    Traffic trafficDuring(long millis, Runnable work) {
        double bytes = sentBytes();
        double messages = messages();
        long fromMillis = nowMillis;
        work.run();
        advance(millis - (nowMillis - fromMillis));
        double processSeconds = nodes.size() * (nowMillis - fromMillis) / MILLIS_PER_SECOND;
        return new Traffic((sentBytes() - bytes) / processSeconds, (messages() - messages) / processSeconds);
    }

    private long millisUntilAll(Predicate<Node> condition) {
        long fromMillis = nowMillis;
        while (nowMillis - fromMillis < SPREAD_TIMEOUT_MILLIS && !nodes.stream().allMatch(condition)) {
            advance(STEP_MILLIS);
        }
        return nowMillis - fromMillis;
    }

    private double sentBytes() {
        return nodes.stream()
                .flatMap(node ->
                        node.registry.find("waxwingquay.gossip.bytes").tag("direction", "sent").counters().stream())
                .mapToDouble(Counter::count)
                .sum();
    }

    private double messages() {
        return nodes.stream()
                .flatMap(node -> node.registry.find("waxwingquay.gossip.messages").counters().stream())
                .mapToDouble(Counter::count)
                .sum();
    }

    private List<HostPort> randomSeeds(int count, int seedCount) {
        return random.ints(seedCount, 0, count)
                .distinct()
                .mapToObj(GossipSimulation::address)
                .toList();
    }

    private static HostPort address(int index) {
        return new HostPort("127.0.0.1", SyntheticSides.BASE_PORT + index);
    }

    private boolean isPartitioned(int fromIndex, int toIndex) {
        boolean fromFirst = fromIndex % SyntheticSides.DATA_CENTRES < partitionedDataCentres;
        boolean toFirst = toIndex % SyntheticSides.DATA_CENTRES < partitionedDataCentres;
        return partitionedDataCentres > 0 && fromFirst != toFirst;
    }

    /**
     * The gossip traffic of one process.
     *
     * @param bytesPerSecond bytes sent, in Thrift's compact protocol without frames; on average a process
     *     receives as many.
     * @param messagesPerSecond requests and answers, counted at both ends.
     */
    record Traffic(double bytesPerSecond, double messagesPerSecond) {}

    private final class Node {

        private final int index;
        private final MemberTable table = new MemberTable(clock, MemberTable.Timing.DEFAULT);
        private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
        private final Gossip gossip;
        private final DirectConnections connections;
        private final long phaseMillis;
        private long lastRoundMillis;
        private long bundleVersion = 1;

        private Node(int index, List<HostPort> seeds) {
            this.index = index;
            Peers peers = new Peers(
                    new Peers.Peer(SyntheticSides.name(index), address(index), SyntheticSides.dataCentre(index)),
                    table,
                    seeds);
            this.phaseMillis = random.nextLong(WAKE_INTERVAL_MILLIS / STEP_MILLIS) * STEP_MILLIS;
            this.lastRoundMillis = nowMillis - random.nextInt(2_000);
            this.connections = new DirectConnections(index);
            this.gossip = Gossip.over(table, peers, connections)
                    .withSuspects(new SuspectTable(clock, 600_000, 100))
                    .withBundleVersion(
                            () -> bundleVersion, (version, from) -> bundleVersion = Math.max(bundleVersion, version))
                    .withClockAndRandom(clock, new Random(index))
                    .withMeterRegistry(registry)
                    .build();
        }

        private void step() {
            boolean isAwake = (nowMillis - phaseMillis) % WAKE_INTERVAL_MILLIS == 0;
            if (isAwake && nowMillis - lastRoundMillis >= gossip.nextDelayMillis()) {
                lastRoundMillis = nowMillis;
                gossip.round().join();
            }
        }
    }

    private final class DirectConnections implements Connections {

        private final int fromIndex;

        private DirectConnections(int fromIndex) {
            this.fromIndex = fromIndex;
        }

        @Override
        public SideProtocol to(HostPort address) {
            int index = address.port() - SyntheticSides.BASE_PORT;
            return isPartitioned(fromIndex, index)
                    ? unreachable()
                    : protocols.computeIfAbsent(address, ignored -> proxy(index));
        }

        private SideProtocol proxy(int index) {
            return (SideProtocol) Proxy.newProxyInstance(
                    SideProtocol.class.getClassLoader(),
                    new Class<?>[] {SideProtocol.class},
                    (proxy, method, arguments) -> CompletableFuture.completedFuture(
                            nodes.get(index).gossip.handler().answer(((GossipRequest) arguments[0]).deepCopy())));
        }

        private SideProtocol unreachable() {
            return (SideProtocol) Proxy.newProxyInstance(
                    SideProtocol.class.getClassLoader(),
                    new Class<?>[] {SideProtocol.class},
                    (proxy, method, arguments) -> CompletableFuture.failedFuture(
                            new IllegalStateException("the data centres are partitioned from each other")));
        }

        @Override
        public void close() {}
    }
}
