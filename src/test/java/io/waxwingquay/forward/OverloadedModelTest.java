package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.manifest.Route;
import io.waxwingquay.net.ClientPool;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.HeldModel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Simulates a model with twice the demand that its two engines can serve: 24 requests per second, each running for some
 * 2.5 s, on 2 engines with 16 slots. Callers leave after 2 s without a first event.
 */
class OverloadedModelTest {

    private static final int SLOTS = 16;
    private static final long SIMULATED_MILLIS = 20_000;
    private static final long REQUEST_INTERVAL_MILLIS = 42;
    private static final long DURATION_MILLIS = 2_500;
    private static final long TICK_MILLIS = 15;
    private static final long UPDATE_MILLIS = 200;
    private static final long CALLER_TIMEOUT_MILLIS = 2_000;
    private static final Engine ENGINE =
            new Engine(SLOTS, 100_000, 200.0, 2, 1.0, List.of(new Engine.Model("m", 70.0, 6_000, 1_300, 600, 1.0)));
    private static final Route ROUTE = new Route(
            "r",
            "x.test",
            "/",
            Route.Kind.STREAM,
            15_000,
            500,
            250,
            0,
            List.of(new Route.Share("s", 1)),
            1,
            false,
            false);

    private final TargetChooser chooser = new TargetChooser("z", new Random(1));
    private final List<SimulatedEngine> engines = List.of(new SimulatedEngine("e1"), new SimulatedEngine("e2"));
    private final List<WaitingRequest> queue = new ArrayList<>();
    private int served;
    private int servedTooLate;
    private int rejectedAtOnce;
    private int rejectedLate;

    // Guards against requests that queue without a chance to be served in time: their callers leave without an answer,
    // and free slots go to requests whose callers are about to leave as well.
    @Test
    void requestThatFindsNoSlotInTimeIsRejectedAtOnceAndNoSlotIsWasted() {
        for (long nowMillis = 0; nowMillis < SIMULATED_MILLIS; nowMillis += TICK_MILLIS) {
            tick(nowMillis);
        }
        double capacity = 2.0 * SLOTS * SIMULATED_MILLIS / DURATION_MILLIS;
        assertTrue(served > 0.85 * capacity, "served " + served + " of " + capacity);
        assertEquals(0, servedTooLate);
        assertTrue(rejectedLate * 10 < rejectedAtOnce, rejectedLate + " rejected late, " + rejectedAtOnce + " at once");
    }

    private void tick(long nowMillis) {
        engines.forEach(engine -> engine.tick(nowMillis));
        for (WaitingRequest request : List.copyOf(queue)) {
            if (trySend(request.arrivedMillis, nowMillis).isEmpty()) {
                queue.remove(request);
            } else if (!WaitPolicy.mayWaitForRoom(ROUTE, nowMillis - request.arrivedMillis, ROUTE.timeoutMillis())) {
                rejectedLate++;
                queue.remove(request);
            }
        }
        if (nowMillis % REQUEST_INTERVAL_MILLIS < TICK_MILLIS) {
            trySend(nowMillis, nowMillis).ifPresent(full -> enqueueOrReject(full, nowMillis));
        }
    }

    private void enqueueOrReject(Choice.Full full, long nowMillis) {
        if (WaitPolicy.mayEnqueue(ROUTE, 0, full.expectedWaitMillis(queue.size()), ROUTE.timeoutMillis())) {
            queue.add(new WaitingRequest(nowMillis));
        } else {
            rejectedAtOnce++;
        }
    }

    /** Sends a request if there is a free slot; otherwise returns when one is expected. */
    private Optional<Choice.Full> trySend(long arrivedMillis, long nowMillis) {
        List<Target> targets = engines.stream().map(engine -> engine.target).toList();
        EngineRequirements requirements = new EngineRequirements("m", Optional.empty(), 1_000, DURATION_MILLIS);
        Choice choice = chooser.chooseEngine(targets, Set.of(), ENGINE, requirements, nowMillis);
        if (choice instanceof Choice.Full full) {
            return Optional.of(full);
        }
        Target target = ((Choice.Send) choice).target();
        engines.stream().filter(engine -> engine.target == target).forEach(engine -> engine.run(nowMillis));
        served++;
        servedTooLate += nowMillis - arrivedMillis >= CALLER_TIMEOUT_MILLIS ? 1 : 0;
        return Optional.empty();
    }

    private record WaitingRequest(long arrivedMillis) {}

    /** Runs requests for random times around the mean duration, and sends status updates at a fixed interval. */
    private static final class SimulatedEngine {

        private final Target target;
        private final List<Long> endTimesMillis = new ArrayList<>();
        private final Random durations = new Random(7);
        private long number;
        private long lastUpdateMillis = -UPDATE_MILLIS;

        private SimulatedEngine(String id) {
            HostPort address = new HostPort("10.0.0.1", 80);
            ReplicaRecord record =
                    new ReplicaRecord(id, 1, "s", "v1", address, "z", SLOTS, false, OptionalLong.empty(), List.of());
            target = new Target(record, new ClientPool(null, new InetSocketAddress("127.0.0.1", 1), 100));
        }

        private void run(long nowMillis) {
            endTimesMillis.add(nowMillis + DURATION_MILLIS / 2 + durations.nextLong(DURATION_MILLIS));
            target.requestSent(Optional.of("m"), Optional.empty(), 1_000, nowMillis);
        }

        private void tick(long nowMillis) {
            long ended = endTimesMillis.stream().filter(end -> end <= nowMillis).count();
            endTimesMillis.removeIf(end -> end <= nowMillis);
            for (long each = 0; each < ended; each++) {
                target.requestEnded(Optional.of("m"), Optional.empty());
            }
            if (nowMillis - lastUpdateMillis >= UPDATE_MILLIS) {
                lastUpdateMillis = nowMillis;
                target.update(update(), nowMillis);
            }
        }

        private EngineNews update() {
            return new EngineNews()
                    .setEngineAddress(target.address().toString())
                    .setNumber(++number)
                    .setRunning(endTimesMillis.size())
                    .setNearModels(List.of())
                    .setModels(new ArrayList<>(List.of(new HeldModel("m", new ArrayList<>()))));
        }
    }
}
