package io.waxwingquay.permit;

import io.waxwingquay.common.Clock;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.membership.MemberTable;
import io.waxwingquay.permit.Permits.Limit;
import io.waxwingquay.permit.Permits.Permit;
import io.waxwingquay.transport.Connections;
import io.waxwingquay.transport.SideProtocol;
import io.waxwingquay.transport.TransportException;
import io.waxwingquay.transport.generated.PermitAnswer;
import io.waxwingquay.transport.generated.PermitRequest;
import io.waxwingquay.transport.generated.PermitReturn;
import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SideState;
import io.waxwingquay.transport.generated.TargetKind;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Stream;

/** Simulates replicas of one service that lend permits for weight loads to each other over an unreliable network. */
final class PermitSimulation {

    static final long LEASE_MILLIS = 10_000;
    static final long MAX_HEARTBEAT_GAP_MILLIS = 3_000;
    private static final long MARGIN_MILLIS = 500;
    private static final int PORT = 9_000;

    private final int replicas;
    private final int weightLoads;
    private final double loadsPerSecond;
    private final List<PermitLender> lenders = new ArrayList<>();
    private final List<LeasedPermits> holders = new ArrayList<>();
    private final List<LeasedPermits> retiredHolders = new ArrayList<>();
    private final MemberTable table;
    private Supplier<DeliveryOutcome> deliveryOutcome = () -> DeliveryOutcome.DELIVERED;
    private long nowMillis = 5_000;
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

    PermitSimulation(int replicas, int weightLoads, double loadsPerSecond) {
        this.replicas = replicas;
        this.weightLoads = weightLoads;
        this.loadsPerSecond = loadsPerSecond;
        this.table = new MemberTable(clock, MemberTable.Timing.DEFAULT);
        for (int replica = 0; replica < replicas; replica++) {
            table.publish(record(replica));
            lenders.add(newLender(replica));
        }
        for (int replica = 0; replica < replicas; replica++) {
            holders.add(newHolder(replica));
        }
    }

    void passFirstLease() {
        advance(LEASE_MILLIS);
    }

    void deliveryOutcome(Supplier<DeliveryOutcome> next) {
        deliveryOutcome = next;
    }

    void advance(long millis) {
        long untilMillis = nowMillis + millis;
        while (nowMillis < untilMillis) {
            nowMillis = Math.min(untilMillis, nowMillis + MAX_HEARTBEAT_GAP_MILLIS);
            lenders.forEach(PermitLender::heartbeat);
        }
    }

    void advanceWithoutHeartbeats(long millis) {
        nowMillis += millis;
    }

    /** Restarts a process without its state; loads that the old process started still run at the weight store. */
    void restart(int replica) {
        retiredHolders.add(holders.get(replica));
        lenders.set(replica, newLender(replica));
        holders.set(replica, newHolder(replica));
    }

    void renew(int replica) {
        holders.get(replica).renew();
    }

    Optional<Permit> acquire(int replica) {
        return holders.get(replica).acquire(Limit.WEIGHT_LOADS).join();
    }

    List<Permit> acquireAll(int replica) {
        List<Permit> all = new ArrayList<>();
        for (Optional<Permit> next = acquire(replica); next.isPresent(); next = acquire(replica)) {
            all.add(next.get());
        }
        return all;
    }

    int countInUse() {
        return Stream.concat(holders.stream(), retiredHolders.stream())
                .mapToInt(holder -> holder.countInUse(Limit.WEIGHT_LOADS))
                .sum();
    }

    PermitLender lender(int replica) {
        return lenders.get(replica);
    }

    PermitAnswer borrowFrom(int replica, String permitId) {
        return lender(replica).borrow(new PermitRequest(Limit.WEIGHT_LOADS.name(), "test", permitId, LEASE_MILLIS));
    }

    void returnTo(int replica, PermitReturn request) {
        lender(replica).returnPermit(request);
    }

    PermitLender.Slots slots(int replica) {
        return new PermitLender.Slots(replica, replicas, weightLoads, loadsPerSecond, 0);
    }

    private PermitLender newLender(int replica) {
        return new PermitLender(clock, LEASE_MILLIS, MAX_HEARTBEAT_GAP_MILLIS, slots(replica));
    }

    private LeasedPermits newHolder(int replica) {
        return LeasedPermits.forHolder("side-" + replica, lenders.get(replica))
                .withPeers("models", table, new LossyConnections())
                .withClock(clock, new Random(replica + retiredHolders.size() * (long) replicas))
                .withTotalSlots(limit -> weightLoads)
                .withBounds(replicas, LEASE_MILLIS, MARGIN_MILLIS)
                .build();
    }

    private SideRecord record(int replica) {
        return new SideRecord(
                "side-" + replica,
                "127.0.0.1",
                PORT + replica,
                "dc",
                "models",
                replica,
                TargetKind.MODEL_ENGINE,
                1,
                1,
                SideState.SERVING,
                0,
                List.of());
    }

    /** The outcome of one call. */
    enum DeliveryOutcome {
        DELIVERED,
        REQUEST_LOST,
        ANSWER_LOST
    }

    private final class LossyConnections implements Connections {

        @Override
        public SideProtocol to(HostPort address) {
            return (SideProtocol) Proxy.newProxyInstance(
                    SideProtocol.class.getClassLoader(),
                    new Class<?>[] {SideProtocol.class},
                    (proxy, method, arguments) -> call(address.port() - PORT, arguments[0]));
        }

        private CompletableFuture<?> call(int replica, Object request) {
            DeliveryOutcome next = deliveryOutcome.get();
            if (next == DeliveryOutcome.REQUEST_LOST) {
                return CompletableFuture.failedFuture(new TransportException(false, "request lost", null));
            }
            Object answer = request instanceof PermitRequest borrow
                    ? lender(replica).borrow(borrow)
                    : (Object) lender(replica).returnPermit((PermitReturn) request);
            return next == DeliveryOutcome.ANSWER_LOST
                    ? CompletableFuture.failedFuture(new TransportException(true, "answer lost", null))
                    : CompletableFuture.completedFuture(answer);
        }

        @Override
        public void close() {}
    }
}
