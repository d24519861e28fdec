package io.waxwingquay.membership;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.waxwingquay.common.Clock;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.suspect.SuspectTable;
import io.waxwingquay.transport.Connections;
import io.waxwingquay.transport.SideProtocol;
import io.waxwingquay.transport.TransportException;
import io.waxwingquay.transport.generated.GossipRequest;
import io.waxwingquay.transport.generated.ItemRecord;
import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SideState;
import io.waxwingquay.transport.generated.TargetKind;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * A simulation of processes that gossip by direct calls, with one clock that the test advances. Each process checks
 * every 250 ms, at a phase of its own, whether a round is due, as the real loop does. A change therefore rarely travels
 * more than one hop per step.
 */
final class GossipSimulation {

    static final long STEP_MILLIS = 10;
    private static final long WAKE_MILLIS = 250;
    private static final int PORT = 20_000;
    private static final int DATA_CENTRES = 6;
    private static final int ITEMS = 8;

    private final List<Node> nodes = new ArrayList<>();
    private final Set<Integer> down = new HashSet<>();
    private final Random lossRandom = new Random(9);
    private double lossProbability;
    private long nowMillis = 1_000;
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

    /** Creates sides that all know each other. */
    static GossipSimulation fullyConnected(int count, long seed) {
        GossipSimulation simulation = new GossipSimulation();
        IntStream.range(0, count).forEach(index -> simulation.nodes.add(simulation.new Node(index, seed + index)));
        List<SideRecord> all =
                IntStream.range(0, count).mapToObj(GossipSimulation::record).toList();
        simulation.nodes.forEach(node -> node.table.merge(all));
        simulation.settle();
        return simulation;
    }

    static SideRecord record(int index) {
        List<ItemRecord> items = IntStream.range(0, ITEMS)
                .mapToObj(item -> new ItemRecord("model:furnace-log-" + item + "@1", item < 4, item))
                .toList();
        return new SideRecord(
                name(index),
                "127.0.0.1",
                PORT + index,
                "dc-" + index % DATA_CENTRES,
                "models",
                index,
                TargetKind.MODEL_ENGINE,
                1,
                1,
                SideState.SERVING,
                80L << 30,
                items);
    }

    static String name(int index) {
        return "side-" + index;
    }

    Node node(int index) {
        return nodes.get(index);
    }

    /** Adds a process that knows only one other. */
    Node join(int contactIndex) {
        Node node = new Node(nodes.size(), contactIndex);
        nodes.add(node);
        node.peers.noteRequest(name(contactIndex), address(contactIndex));
        node.table.publish(record(nodes.size() - 1));
        return node;
    }

    void takeDown(int index) {
        down.add(index);
    }

    /** Loses calls with the given probability from now on, half of them after they were answered. */
    void setLossProbability(double probability) {
        lossProbability = probability;
    }

    void step() {
        nowMillis += STEP_MILLIS;
        nodes.forEach(Node::step);
    }

    /** Advances the time until a condition holds at every running node or the limit is reached. */
    long millisUntilAll(Predicate<Node> condition, long limitMillis) {
        long startMillis = nowMillis;
        while (nowMillis - startMillis < limitMillis && !upNodes().stream().allMatch(condition)) {
            step();
        }
        return nowMillis - startMillis;
    }

    void advance(long millis) {
        LongStream.range(0, millis / STEP_MILLIS).forEach(ignored -> step());
    }

    /** Returns the bytes sent by all nodes since the start of the simulation. */
    double sentBytes() {
        return nodes.stream().mapToDouble(Node::sentBytes).sum();
    }

    int size() {
        return nodes.size();
    }

    private void settle() {
        advance(20_000);
    }

    private List<Node> upNodes() {
        IntPredicate isUp = index -> !down.contains(index);
        return IntStream.range(0, nodes.size())
                .filter(isUp)
                .mapToObj(nodes::get)
                .toList();
    }

    private static HostPort address(int index) {
        return new HostPort("127.0.0.1", PORT + index);
    }

    /** A simulated process. */
    final class Node {

        final MemberTable table = new MemberTable(clock, MemberTable.Timing.DEFAULT);
        final Peers peers;
        final Gossip gossip;
        final SuspectTable suspects = new SuspectTable(clock, 600_000, 100);
        long bundleVersion = 1;
        private final int index;
        private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
        private final long phaseMillis;
        private long lastRoundMillis;

        private Node(int index, long seed) {
            this.index = index;
            this.peers = new Peers(
                    new Peers.Peer(name(index), address(index), "dc-" + index % DATA_CENTRES), table, List.of());
            Random random = new Random(seed);
            this.phaseMillis = random.nextLong(WAKE_MILLIS / STEP_MILLIS) * STEP_MILLIS;
            this.lastRoundMillis = nowMillis - random.nextInt(2_000);
            this.gossip = Gossip.over(table, peers, new DirectConnections())
                    .withSuspects(suspects)
                    .withBundleVersion(
                            () -> bundleVersion, (version, from) -> bundleVersion = Math.max(bundleVersion, version))
                    .withClockAndRandom(clock, new Random(seed))
                    .withMeterRegistry(registry)
                    .build();
        }

        private void step() {
            boolean isWakeTime = (nowMillis - phaseMillis) % WAKE_MILLIS == 0;
            if (isWakeTime && !down.contains(index) && nowMillis - lastRoundMillis >= gossip.nextDelayMillis()) {
                lastRoundMillis = nowMillis;
                gossip.round().join();
            }
        }

        private double sentBytes() {
            return registry.find("waxwingquay.gossip.bytes").tag("direction", "sent").counters().stream()
                    .mapToDouble(Counter::count)
                    .sum();
        }
    }

    private final class DirectConnections implements Connections {

        @Override
        public SideProtocol to(HostPort address) {
            int index = address.port() - PORT;
            return (SideProtocol) Proxy.newProxyInstance(
                    SideProtocol.class.getClassLoader(),
                    new Class<?>[] {SideProtocol.class},
                    (proxy, method, arguments) -> down.contains(index)
                            ? CompletableFuture.failedFuture(new TransportException(false, "down", null))
                            : answer(index, method.getName(), arguments));
        }

        private CompletableFuture<?> answer(int index, String method, Object[] arguments) {
            boolean isRequestLost = lossRandom.nextDouble() < lossProbability / 2;
            CompletableFuture<?> answer = isRequestLost ? null : deliver(index, method, arguments);
            boolean isAnswerLost = lossRandom.nextDouble() < lossProbability / 2;
            return isRequestLost || isAnswerLost
                    ? CompletableFuture.failedFuture(new TransportException(!isRequestLost, "lost", null))
                    : answer;
        }

        private CompletableFuture<?> deliver(int index, String method, Object[] arguments) {
            return "ping".equals(method)
                    ? CompletableFuture.completedFuture(true)
                    : CompletableFuture.completedFuture(
                            nodes.get(index).gossip.handler().answer(((GossipRequest) arguments[0]).deepCopy()));
        }

        @Override
        public void close() {}
    }
}
