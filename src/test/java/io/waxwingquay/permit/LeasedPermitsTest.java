package io.waxwingquay.permit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.permit.PermitSimulation.DeliveryOutcome;
import io.waxwingquay.permit.Permits.Limit;
import io.waxwingquay.permit.Permits.Permit;
import io.waxwingquay.transport.generated.PermitAnswer;
import io.waxwingquay.transport.generated.PermitRequest;
import io.waxwingquay.transport.generated.PermitReturn;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class LeasedPermitsTest {

    private static final long LEASE_MILLIS = PermitSimulation.LEASE_MILLIS;

    private final PermitSimulation simulation = new PermitSimulation(4, 3, 0);

    @Test
    void replicaWithoutSlotsBorrowsFromOthers() {
        simulation.passFirstLease();
        assertEquals(0, simulation.slots(3).assignedSlots(Limit.WEIGHT_LOADS));
        assertTrue(simulation.acquire(3).isPresent());
        assertTrue(simulation.acquire(3).isPresent());
        assertTrue(simulation.acquire(0).isPresent());
        assertFalse(simulation.acquire(1).isPresent());
    }

    @Test
    void returnedPermitIsLentAgainAndSecondReturnIsIgnored() {
        simulation.passFirstLease();
        Permit first = simulation.acquire(3).orElseThrow();
        first.close();
        first.close();
        assertEquals(3, simulation.acquireAll(1).size());
    }

    /**
     * Guards against more loads at the weight store than the limit. A lender that lends its slot, crashes and restarts
     * without state would lend the same slot again while the holder's load is still running.
     */
    @Test
    void restartedLenderGrantsNothingForOneLease() {
        simulation.passFirstLease();
        assertTrue(simulation.acquire(0).isPresent());
        simulation.restart(0);
        PermitAnswer answerAfterRestart = simulation.borrowFrom(0, "other");
        assertFalse(answerAfterRestart.isGranted());
        assertEquals(LEASE_MILLIS, answerAfterRestart.getRetryAfterMillis());
        simulation.advance(LEASE_MILLIS);
        assertTrue(simulation.borrowFrom(0, "other").isGranted());
    }

    /**
     * Guards against a paused lender and its replacement lending the same slots. A lender that paused for longer than
     * the longest allowed heartbeat gap may have been replaced, so it grants nothing for one lease.
     */
    @Test
    void pausedLenderGrantsNothingForOneLease() {
        simulation.passFirstLease();
        simulation.advanceWithoutHeartbeats(PermitSimulation.MAX_HEARTBEAT_GAP_MILLIS + 1);
        assertFalse(simulation.borrowFrom(0, "permit").isGranted());
        simulation.advance(LEASE_MILLIS);
        assertTrue(simulation.borrowFrom(0, "permit").isGranted());
    }

    @Test
    void loadStartsAreLimitedToTheRateOfTheSlots() {
        PermitSimulation rateLimited = new PermitSimulation(3, 3, 1.5);
        rateLimited.passFirstLease();
        assertTrue(rateLimited.borrowFrom(0, "first").isGranted());
        rateLimited.returnTo(0, new PermitReturn(Limit.WEIGHT_LOADS.name(), "first"));
        PermitAnswer secondAnswer = rateLimited.borrowFrom(0, "second");
        assertFalse(secondAnswer.isGranted());
        assertEquals(2_000, secondAnswer.getRetryAfterMillis());
        rateLimited.advance(2_000);
        assertTrue(rateLimited.borrowFrom(0, "second").isGranted());
    }

    @Test
    void busyReplicaUsesTheWholeLimitUnlikeStaticShares() {
        PermitSimulation staticShares = new PermitSimulation(13, 3, 0);
        staticShares.passFirstLease();
        int withStaticShares = 0;
        while (new StaticShares(staticShares.lender(0), LEASE_MILLIS)
                .acquire(Limit.WEIGHT_LOADS)
                .join()
                .isPresent()) {
            withStaticShares++;
        }
        PermitSimulation lending = new PermitSimulation(13, 3, 0);
        lending.passFirstLease();
        int withLending = lending.acquireAll(0).size();
        System.out.printf(
                "permits: of 3, one replica of 13 gets %d with static shares, %d by lending%n",
                withStaticShares, withLending);
        assertEquals(1, withStaticShares);
        assertEquals(3, withLending);
    }

    @Test
    void unknownLimitIsRejected() {
        simulation.passFirstLease();
        PermitRequest request = new PermitRequest("NO_SUCH_LIMIT", "holder", "permit", LEASE_MILLIS);
        assertFalse(simulation.lender(0).borrow(request).isGranted());
    }

    /**
     * Lost requests, lost answers and restarts never bring the permits in use above the limit. When the answer to a
     * borrow is lost, the lender still counts the permit as lent, although nobody uses it. Borrows, returns, renewals,
     * lost requests, lost answers, restarts of processes and elapsing time occur in any order.
     */
    @Property(tries = 150, seed = "20261202")
    void permitsInUseNeverExceedTheLimit(@ForAll long seed) {
        Random random = new Random(seed);
        PermitSimulation trial = new PermitSimulation(4, 6, 0);
        trial.deliveryOutcome(() -> DeliveryOutcome.values()[random.nextInt(DeliveryOutcome.values().length)]);
        Deque<Permit> open = new ArrayDeque<>();
        List<Integer> inUse = new ArrayList<>();
        for (int step = 0; step < 120; step++) {
            int replica = random.nextInt(4);
            switch (random.nextInt(6)) {
                case 0, 1 -> {
                    Optional<Permit> permit = trial.acquire(replica);
                    permit.ifPresent(open::add);
                }
                case 2 -> Optional.ofNullable(open.poll()).ifPresent(Permit::close);
                case 3 -> trial.renew(replica);
                case 4 -> trial.advance(random.nextLong(LEASE_MILLIS));
                default -> {
                    if (random.nextInt(4) == 0) {
                        trial.restart(replica);
                    }
                }
            }
            inUse.add(trial.countInUse());
        }
        assertTrue(inUse.stream().allMatch(count -> count <= 6), () -> "in use: " + inUse);
    }
}
