package io.waxwingquay.permit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.permit.PermitWorld.Fate;
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

class LentPermitsTest {

    private static final long LEASE_MILLIS = PermitWorld.LEASE_MILLIS;

    private final PermitWorld world = new PermitWorld(4, 3, 0);

    @Test
    void aReplicaWithoutSlotsBorrowsFromOthers() {
        world.open();
        assertEquals(0, world.slots(3).assignedSlots(Limit.WEIGHT_LOADS));
        assertTrue(world.acquire(3).isPresent());
        assertTrue(world.acquire(3).isPresent());
        assertTrue(world.acquire(0).isPresent());
        assertFalse(world.acquire(1).isPresent());
    }

    @Test
    void aPermitGivenBackIsLentAgainAndASecondReturnChangesNothing() {
        world.open();
        Permit first = world.acquire(3).orElseThrow();
        first.close();
        first.close();
        assertEquals(3, world.acquireAll(1).size());
    }

    @Test
    void aRestartedHomeGrantsNothingForOneLease() {
        // The caller sees loads at the weight store above its limit. A home lends its slot, dies and restarts without
        // memory while the holder still loads; a home that granted at once would lend the same slot a second time.
        world.open();
        assertTrue(world.acquire(0).isPresent());
        world.restart(0);
        PermitAnswer early = world.borrowFrom(0, "other");
        assertFalse(early.isGranted());
        assertEquals(LEASE_MILLIS, early.getRetryAfterMillis());
        world.pass(LEASE_MILLIS);
        assertTrue(world.borrowFrom(0, "other").isGranted());
    }

    @Test
    void aHomeThatWasPausedGrantsNothingForOneLease() {
        // A home stands still for longer than its pause limit; a replacement is started and lends the same slots.
        // The old home wakes and, as its own leases have all ended, would lend them as well.
        world.open();
        world.passUnnoticed(PermitWorld.PAUSE_MILLIS + 1);
        assertFalse(world.borrowFrom(0, "permit").isGranted());
        world.pass(LEASE_MILLIS);
        assertTrue(world.borrowFrom(0, "permit").isGranted());
    }

    @Test
    void startsAreHeldToTheRateOfTheSlots() {
        PermitWorld rated = new PermitWorld(3, 3, 1.5);
        rated.open();
        assertTrue(rated.borrowFrom(0, "first").isGranted());
        rated.giveBackTo(0, new PermitReturn(Limit.WEIGHT_LOADS.name(), "first"));
        PermitAnswer soon = rated.borrowFrom(0, "second");
        assertFalse(soon.isGranted());
        assertEquals(2_000, soon.getRetryAfterMillis());
        rated.pass(2_000);
        assertTrue(rated.borrowFrom(0, "second").isGranted());
    }

    @Test
    void aBusyReplicaReachesTheWholeLimitAsStaticSharesCannot() {
        PermitWorld claywheel = new PermitWorld(13, 3, 0);
        claywheel.open();
        int withStaticShares = 0;
        while (new StaticShares(claywheel.home(0), LEASE_MILLIS)
                .acquire(Limit.WEIGHT_LOADS)
                .join()
                .isPresent()) {
            withStaticShares++;
        }
        PermitWorld lending = new PermitWorld(13, 3, 0);
        lending.open();
        int withLending = lending.acquireAll(0).size();
        System.out.printf("permits: of 3 one replica of 13 gets %d static, %d lent%n", withStaticShares, withLending);
        assertEquals(1, withStaticShares);
        assertEquals(3, withLending);
    }

    @Test
    void anUnknownLimitIsRefused() {
        world.open();
        PermitRequest request = new PermitRequest("NO_SUCH_LIMIT", "holder", "permit", LEASE_MILLIS);
        assertFalse(world.home(0).borrow(request).isGranted());
    }

    @Property(tries = 150, seed = "20261202")
    void neverMoreInUseThanTheLimit(@ForAll long seed) {
        // Borrows, returns, renewals, lost requests, lost answers, restarts of homes and the passing of time come in
        // any order. A lost answer leaves a permit out at its home that nobody uses; counting it free would exceed.
        Random random = new Random(seed);
        PermitWorld trial = new PermitWorld(4, 6, 0);
        trial.fate(() -> Fate.values()[random.nextInt(Fate.values().length)]);
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
                case 4 -> trial.pass(random.nextLong(LEASE_MILLIS));
                default -> {
                    if (random.nextInt(4) == 0) {
                        trial.restart(replica);
                    }
                }
            }
            inUse.add(trial.inUse());
        }
        assertTrue(inUse.stream().allMatch(count -> count <= 6), () -> "in use: " + inUse);
    }
}
