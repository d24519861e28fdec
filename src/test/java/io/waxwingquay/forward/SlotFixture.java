package io.waxwingquay.forward;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.net.ClientPool;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.HeldModel;
import io.waxwingquay.transport.generated.SlotDecision;
import io.waxwingquay.transport.generated.SlotReply;
import io.waxwingquay.transport.generated.SlotRequest;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;

/** A requester of slots with a simulated clock, whose datagrams are recorded instead of sent. */
final class SlotFixture implements SlotRequester.Channel, SlotMetrics {

    static final int SLOTS = 10;

    final List<Sent> requests = new ArrayList<>();
    final List<Long> cancelledIds = new ArrayList<>();
    final List<String> counts = new ArrayList<>();
    private final PriorityQueue<Task> tasks = new PriorityQueue<>(Comparator.comparingLong(Task::dueMillis));
    long nowMillis = 100_000;
    long maxWaitMillis = 1_000;
    final SlotRequester requester = new SlotRequester(
            this, (delay, task) -> tasks.add(new Task(nowMillis + delay, task)), () -> nowMillis, this, 500);

    /** Runs what is due until this much later. */
    void advance(long millis) {
        long endMillis = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.peek().dueMillis <= endMillis) {
            Task next = tasks.poll();
            nowMillis = next.dueMillis;
            next.task.run();
        }
        nowMillis = endMillis;
    }

    /** Creates a replica whose side process has just told that it grants slots. */
    Target target(String id, int running) {
        ReplicaRecord record = new ReplicaRecord(
                id, 1, "s", "v1", new HostPort("h", 80), "z", SLOTS, false, OptionalLong.empty(), List.of());
        Target target = new Target(record, new ClientPool(null, new InetSocketAddress("127.0.0.1", 1), 10));
        target.update(update(running), nowMillis);
        return target;
    }

    static EngineNews update(int running) {
        return new EngineNews()
                .setEngineAddress("h:80")
                .setNumber(1)
                .setRunning(running)
                .setGrantsSlots(true)
                .setNearModels(List.of())
                .setModels(new ArrayList<>(List.of(new HeldModel("m", new ArrayList<>()))));
    }

    SlotRequest message(long atMillis) {
        return new SlotRequest().setModel("m").setAdapter("a").setMaxWaitMillis((int) maxWaitMillis);
    }

    /** Returns the id of the last call to a replica. */
    long lastId(Target target) {
        return requests.stream()
                .filter(sent -> sent.target == target)
                .mapToLong(Sent::id)
                .max()
                .orElseThrow();
    }

    void reply(long id, SlotDecision decision, int waitMillis, String reason) {
        requester.replied(new SlotReply(id, decision, waitMillis, 7).setReason(reason));
    }

    void grant(long id) {
        reply(id, SlotDecision.GRANTED, 0, null);
    }

    void queue(long id) {
        reply(id, SlotDecision.QUEUED, 300, null);
    }

    void deny(long id, int retryAfterMillis) {
        reply(id, SlotDecision.DENIED, retryAfterMillis, "room");
    }

    static Optional<String> name(Choice choice) {
        return choice instanceof Choice.Send send
                ? Optional.of("send " + send.target().id())
                : choice instanceof Choice.Reserve reserve
                        ? Optional.of("reserve " + reserve.target().id())
                        : Optional.empty();
    }

    @Override
    public void request(Target target, SlotRequest request) {
        requests.add(new Sent(target, request.getId(), request.getMaxWaitMillis()));
    }

    @Override
    public void cancel(Target target, long id) {
        cancelledIds.add(id);
    }

    @Override
    public void requested() {
        counts.add("requested");
    }

    @Override
    public void granted(long waitMillis) {
        counts.add("granted " + waitMillis);
    }

    @Override
    public void denied() {
        counts.add("denied");
    }

    @Override
    public void silent() {
        counts.add("silent");
    }

    /** A datagram with a request for a slot. */
    record Sent(Target target, long id, long maxWaitMillis) {}

    private record Task(long dueMillis, Runnable task) {}
}
