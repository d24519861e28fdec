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
 * Takes a permit from this replica's own home first, then asks a few other homes at random.
 *
 * <p>A holder counts its lease from before it asked and stops a margin early, so it ends before the home's lease does.
 * {@link #renew()} extends the leases of permits still open. An answer that is lost leaves the permit out at its home
 * until the lease ends, or until the return that is sent at once arrives: the limit may be used less, never more.
 */
public final class LentPermits implements Permits {

    private final Builder wiring;
    private final Map<String, Held> held = new ConcurrentHashMap<>();

    private LentPermits(Builder wiring) {
        this.wiring = wiring;
    }

    /**
     * Starts the wiring of a holder.
     *
     * @param holderId this side's name.
     * @param home this replica's own home.
     * @return a builder.
     */
    public static Builder forHolder(String holderId, PermitHome home) {
        return new Builder(holderId, home);
    }

    /** {@inheritDoc} */
    @Override
    public CompletableFuture<Optional<Permit>> acquire(Limit limit) {
        List<Lender> lenders = new ArrayList<>();
        lenders.add(ownLender());
        lenders.addAll(otherLenders(limit));
        return askNext(limit, lenders, 0);
    }

    /** Extends the lease of every open permit; to be called several times within a lease. */
    public void renew() {
        held.forEach((permitId, permit) -> permit.ask(permitId));
    }

    /**
     * How many permits this holder counts on now.
     *
     * @param limit the limit.
     * @return permits open whose lease has not ended.
     */
    public int inUse(Limit limit) {
        long nowMillis = wiring.clock.monotonicMillis();
        return (int) held.values().stream()
                .filter(permit -> permit.limit == limit)
                .filter(permit -> nowMillis < permit.usableUntilMillis)
                .count();
    }

    private CompletableFuture<Optional<Permit>> askNext(Limit limit, List<Lender> lenders, int index) {
        if (index >= lenders.size()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        String permitId = wiring.permitIds.get();
        Held candidate = new Held(limit, lenders.get(index));
        return candidate.ask(permitId).thenCompose(isHeld -> {
            if (isHeld) {
                held.put(permitId, candidate);
                Permit permit = () -> close(permitId);
                return CompletableFuture.completedFuture(Optional.of(permit));
            }
            return askNext(limit, lenders, index + 1);
        });
    }

    private void close(String permitId) {
        Held closed = held.remove(permitId);
        if (closed != null) {
            closed.giveBack(permitId);
        }
    }

    private Lender ownLender() {
        return new Lender(
                request -> CompletableFuture.completedFuture(wiring.home.borrow(request)),
                request -> CompletableFuture.completedFuture(wiring.home.giveBack(request)));
    }

    private List<Lender> otherLenders(Limit limit) {
        Map<Integer, Side> byReplica = wiring.membership.sides().stream()
                .filter(side -> side.service().equals(wiring.service))
                .filter(side -> !side.id().equals(wiring.holderId))
                .filter(Side::acceptsWork)
                .filter(side -> side.replica() < wiring.total.apply(limit))
                .collect(Collectors.toMap(Side::replica, side -> side, LentPermits::newer));
        List<Side> homes = new ArrayList<>(byReplica.values());
        homes.sort(Comparator.comparing(Side::id));
        Collections.shuffle(homes, new Random(wiring.random.nextLong()));
        return homes.stream().limit(wiring.maxAsks).map(this::lenderAt).toList();
    }

    private Lender lenderAt(Side side) {
        PeerProtocol peer = wiring.connections.to(side.address());
        return new Lender(peer::borrowPermit, peer::returnPermit);
    }

    private static Side newer(Side left, Side right) {
        return left.epoch() >= right.epoch() ? left : right;
    }

    private record Lender(
            Function<PermitRequest, CompletableFuture<PermitAnswer>> borrow,
            Function<PermitReturn, CompletableFuture<Boolean>> giveBack) {}

    private final class Held {

        private final Limit limit;
        private final Lender lender;
        private volatile long usableUntilMillis;

        private Held(Limit limit, Lender lender) {
            this.limit = limit;
            this.lender = lender;
        }

        CompletableFuture<Boolean> ask(String permitId) {
            long askedAtMillis = wiring.clock.monotonicMillis();
            long untilMillis = askedAtMillis + wiring.leaseMillis - wiring.marginMillis;
            PermitRequest request = new PermitRequest(limit.name(), wiring.holderId, permitId, wiring.leaseMillis);
            return lender.borrow.apply(request).handle((answer, failure) -> {
                boolean isInTime = wiring.clock.monotonicMillis() < untilMillis;
                if (failure == null && answer.isGranted() && isInTime) {
                    usableUntilMillis = Math.max(usableUntilMillis, untilMillis);
                    return true;
                }
                if (usableUntilMillis == 0 && (failure != null || answer.isGranted())) {
                    giveBack(permitId);
                }
                return false;
            });
        }

        void giveBack(String permitId) {
            lender.giveBack.apply(new PermitReturn(limit.name(), permitId));
        }
    }

    /** Wiring of a holder. */
    public static final class Builder {

        private static final int DEFAULT_ASKS = 3;
        private static final long DEFAULT_LEASE_MILLIS = 30_000;
        private static final long DEFAULT_MARGIN_MILLIS = 2_000;

        private final String holderId;
        private final PermitHome home;
        private String service = "";
        private Membership membership;
        private Connections connections;
        private Clock clock = Clock.SYSTEM;
        private RandomGenerator random = RandomGenerator.getDefault();
        private Function<Limit, Integer> total = limit -> Integer.MAX_VALUE;
        private Supplier<String> permitIds;
        private int maxAsks = DEFAULT_ASKS;
        private long leaseMillis = DEFAULT_LEASE_MILLIS;
        private long marginMillis = DEFAULT_MARGIN_MILLIS;

        private Builder(String holderId, PermitHome home) {
            this.holderId = holderId;
            this.home = home;
        }

        /**
         * Sets how other homes are found and reached.
         *
         * @param newService the service whose replicas share the limits.
         * @param newMembership the sides known.
         * @param newConnections connections to them.
         * @return this builder.
         */
        public Builder reaching(String newService, Membership newMembership, Connections newConnections) {
            this.service = newService;
            this.membership = newMembership;
            this.connections = newConnections;
            return this;
        }

        /**
         * Sets the time and the randomness.
         *
         * @param newClock the time.
         * @param newRandom picks homes and names permits.
         * @return this builder.
         */
        public Builder deciding(Clock newClock, RandomGenerator newRandom) {
            this.clock = newClock;
            this.random = newRandom;
            return this;
        }

        /**
         * Sets the limits over all replicas, so that only replicas with a slot are asked.
         *
         * @param newTotal the slots of each limit in the bundle in force.
         * @return this builder.
         */
        public Builder limitedTo(Function<Limit, Integer> newTotal) {
            this.total = newTotal;
            return this;
        }

        /**
         * Sets the bounds.
         *
         * @param newMaxAsks other homes asked for one permit.
         * @param newLeaseMillis the lease asked for; at most the homes' longest.
         * @param newMarginMillis how long before the lease's end the holder stops counting on it.
         * @return this builder.
         */
        public Builder bounded(int newMaxAsks, long newLeaseMillis, long newMarginMillis) {
            this.maxAsks = newMaxAsks;
            this.leaseMillis = newLeaseMillis;
            this.marginMillis = newMarginMillis;
            return this;
        }

        /**
         * Builds the holder.
         *
         * @return a holder of no permits.
         */
        public LentPermits build() {
            Objects.requireNonNull(membership, "membership");
            Objects.requireNonNull(connections, "connections");
            String prefix = holderId + "/" + Long.toHexString(random.nextLong()) + "/";
            AtomicLong next = new AtomicLong();
            permitIds = () -> prefix + next.incrementAndGet();
            return new LentPermits(this);
        }
    }
}
