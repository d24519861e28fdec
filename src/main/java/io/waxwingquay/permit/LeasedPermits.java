package io.waxwingquay.permit;

import io.waxwingquay.common.Clock;
import io.waxwingquay.membership.Membership;
import io.waxwingquay.membership.Side;
import io.waxwingquay.transport.Connections;
import io.waxwingquay.transport.PeerProtocol;
import io.waxwingquay.transport.generated.PermitAnswer;
import io.waxwingquay.transport.generated.PermitRequest;
import io.waxwingquay.transport.generated.PermitReturn;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Leases permits from this replica's own lender first, then from a few lenders on other replicas, chosen at random.
 *
 * <p>The holder counts its lease from before the request and stops using it a margin early, so its lease ends before
 * the lender's does. {@link #renew()} extends the leases of open permits. When an answer is lost, the lender counts the
 * permit as lent until the lease ends or until the return, which is sent at once, arrives: the limit may be underused,
 * but is never exceeded.
 */
public final class LeasedPermits implements Permits {

    private final Builder builder;
    private final Map<String, Lease> leases = new ConcurrentHashMap<>();

    private LeasedPermits(Builder builder) {
        this.builder = builder;
    }

    /**
     * Creates a builder.
     *
     * @param holderId this side's name.
     * @param lender this replica's own lender.
     * @return a builder.
     */
    public static Builder forHolder(String holderId, PermitLender lender) {
        return new Builder(holderId, lender);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Optional<Permit>> acquire(Limit limit) {
        List<LenderClient> lenders = new ArrayList<>();
        lenders.add(ownLender());
        lenders.addAll(peerLenders(limit));
        return requestNext(limit, lenders, 0);
    }

    /** Extends the lease of every open permit; must be called several times within a lease. */
    public void renew() {
        leases.forEach((permitId, lease) -> lease.request(permitId));
    }

    /**
     * Counts the permits that this holder may use now.
     *
     * @param limit the limit.
     * @return open permits whose lease has not ended.
     */
    public int countInUse(Limit limit) {
        long nowMillis = builder.clock.monotonicMillis();
        return (int) leases.values().stream()
                .filter(lease -> lease.limit == limit)
                .filter(lease -> nowMillis < lease.usableUntilMillis)
                .count();
    }

    private CompletableFuture<Optional<Permit>> requestNext(Limit limit, List<LenderClient> lenders, int index) {
        if (index >= lenders.size()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        String permitId = builder.permitIds.get();
        Lease candidate = new Lease(limit, lenders.get(index));
        return candidate.request(permitId).thenCompose(isLeased -> {
            if (isLeased) {
                leases.put(permitId, candidate);
                Permit permit = () -> release(permitId);
                return CompletableFuture.completedFuture(Optional.of(permit));
            }
            return requestNext(limit, lenders, index + 1);
        });
    }

    private void release(String permitId) {
        Lease lease = leases.remove(permitId);
        if (lease != null) {
            lease.returnPermit(permitId);
        }
    }

    private LenderClient ownLender() {
        return new LenderClient(
                request -> CompletableFuture.completedFuture(builder.lender.borrow(request)),
                request -> CompletableFuture.completedFuture(builder.lender.returnPermit(request)));
    }

    private List<LenderClient> peerLenders(Limit limit) {
        Map<Integer, Side> byReplica = builder.membership.sides().stream()
                .filter(side -> side.service().equals(builder.service))
                .filter(side -> !side.id().equals(builder.holderId))
                .filter(Side::acceptsWork)
                .filter(side -> side.replica() < builder.totalSlots.apply(limit))
                .collect(Collectors.toMap(Side::replica, side -> side, LeasedPermits::newer));
        List<Side> lenderSides = new ArrayList<>(byReplica.values());
        lenderSides.sort(Comparator.comparing(Side::id));
        Collections.shuffle(lenderSides, new Random(builder.random.nextLong()));
        return lenderSides.stream()
                .limit(builder.maxPeersAsked)
                .map(this::lenderAt)
                .toList();
    }

    private LenderClient lenderAt(Side side) {
        PeerProtocol peer = builder.connections.to(side.address());
        return new LenderClient(peer::borrowPermit, peer::returnPermit);
    }

    private static Side newer(Side left, Side right) {
        return left.epoch() >= right.epoch() ? left : right;
    }

    private record LenderClient(
            Function<PermitRequest, CompletableFuture<PermitAnswer>> borrow,
            Function<PermitReturn, CompletableFuture<Boolean>> returnPermit) {}

    private final class Lease {

        private final Limit limit;
        private final LenderClient lender;
        private volatile long usableUntilMillis;

        private Lease(Limit limit, LenderClient lender) {
            this.limit = limit;
            this.lender = lender;
        }

        CompletableFuture<Boolean> request(String permitId) {
            long requestedAtMillis = builder.clock.monotonicMillis();
            long untilMillis = requestedAtMillis + builder.leaseMillis - builder.marginMillis;
            PermitRequest request = new PermitRequest(limit.name(), builder.holderId, permitId, builder.leaseMillis);
            return lender.borrow.apply(request).handle((answer, failure) -> {
                boolean isInTime = builder.clock.monotonicMillis() < untilMillis;
                if (failure == null && answer.isGranted() && isInTime) {
                    usableUntilMillis = Math.max(usableUntilMillis, untilMillis);
                    return true;
                }
                if (usableUntilMillis == 0 && (failure != null || answer.isGranted())) {
                    returnPermit(permitId);
                }
                return false;
            });
        }

        void returnPermit(String permitId) {
            lender.returnPermit.apply(new PermitReturn(limit.name(), permitId));
        }
    }

    /** Builder of a permit holder. */
    public static final class Builder {

        private static final int DEFAULT_MAX_PEERS_ASKED = 3;
        private static final long DEFAULT_LEASE_MILLIS = 30_000;
        private static final long DEFAULT_MARGIN_MILLIS = 2_000;

        private final String holderId;
        private final PermitLender lender;
        private String service = "";
        private Membership membership;
        private Connections connections;
        private Clock clock = Clock.SYSTEM;
        private RandomGenerator random = RandomGenerator.getDefault();
        private Function<Limit, Integer> totalSlots = limit -> Integer.MAX_VALUE;
        private Supplier<String> permitIds;
        private int maxPeersAsked = DEFAULT_MAX_PEERS_ASKED;
        private long leaseMillis = DEFAULT_LEASE_MILLIS;
        private long marginMillis = DEFAULT_MARGIN_MILLIS;

        private Builder(String holderId, PermitLender lender) {
            this.holderId = holderId;
            this.lender = lender;
        }

        /**
         * Sets how other lenders are found and reached.
         *
         * @param newService the service whose replicas share the limits.
         * @param newMembership the known sides.
         * @param newConnections connections to them.
         * @return this builder.
         */
        public Builder withPeers(String newService, Membership newMembership, Connections newConnections) {
            this.service = newService;
            this.membership = newMembership;
            this.connections = newConnections;
            return this;
        }

        /**
         * Sets the clock and the source of randomness.
         *
         * @param newClock the clock.
         * @param newRandom shuffles the other lenders and seeds permit ids.
         * @return this builder.
         */
        public Builder withClock(Clock newClock, RandomGenerator newRandom) {
            this.clock = newClock;
            this.random = newRandom;
            return this;
        }

        /**
         * Sets the limits over all replicas, so that only replicas with a slot are asked.
         *
         * @param newTotalSlots the total slots of each limit in the bundle in force.
         * @return this builder.
         */
        public Builder withTotalSlots(Function<Limit, Integer> newTotalSlots) {
            this.totalSlots = newTotalSlots;
            return this;
        }

        /**
         * Sets the bounds of a request for a permit.
         *
         * @param newMaxPeersAsked the most other lenders asked for one permit.
         * @param newLeaseMillis the lease requested; at most the longest that lenders grant.
         * @param newMarginMillis how long before the end of its lease the holder stops using a permit.
         * @return this builder.
         */
        public Builder withBounds(int newMaxPeersAsked, long newLeaseMillis, long newMarginMillis) {
            this.maxPeersAsked = newMaxPeersAsked;
            this.leaseMillis = newLeaseMillis;
            this.marginMillis = newMarginMillis;
            return this;
        }

        /**
         * Builds the holder.
         *
         * @return a holder without permits.
         */
        public LeasedPermits build() {
            Objects.requireNonNull(membership, "membership");
            Objects.requireNonNull(connections, "connections");
            String prefix = holderId + "/" + Long.toHexString(random.nextLong()) + "/";
            AtomicLong next = new AtomicLong();
            permitIds = () -> prefix + next.incrementAndGet();
            return new LeasedPermits(this);
        }
    }
}
