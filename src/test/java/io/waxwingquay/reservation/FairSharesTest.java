package io.waxwingquay.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class FairSharesTest {

    private static final Optional<String> HOT = Optional.of("hot");

    private final FairShares shares = new FairShares();

    // Guards against a share that a small account does not use and no other gets, and against shares without weights.
    @Test
    void dividesWhatSmallAccountsLeaveByWeight() {
        request(HOT, 2, 30);
        request(Optional.of("small"), 1, 1);
        request(Optional.empty(), 1, 30);
        shares.divide(10);
        assertEquals(1, shares.share(Optional.of("small")), 1e-9);
        assertEquals(6, shares.share(HOT), 1e-9);
        assertEquals(3, shares.share(Optional.empty()), 1e-9);
    }

    // Guards against an account that is held back although nobody else requests the slots.
    @Test
    void anyAccountMayUseWhatNoOtherRequests() {
        request(HOT, 1, 8);
        request(Optional.of("small"), 1, 1);
        shares.divide(20);
        assertTrue(shares.isBelow(HOT, 7));
        assertEquals(8, shares.share(HOT), 1e-9);
    }

    @Test
    void heldSlotsCountTowardTheShare() {
        shares.addHeld(HOT, 1);
        request(HOT, 1, 5);
        request(Optional.of("small"), 1, 5);
        shares.divide(4);
        assertTrue(shares.isBelow(HOT, 0));
        shares.granted(HOT);
        assertFalse(shares.isBelow(HOT, 0));
    }

    private void request(Optional<String> account, double weight, int count) {
        IntStream.range(0, count).forEach(each -> shares.addRequested(account, weight));
    }
}
