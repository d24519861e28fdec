package io.waxwingquay.reservation;

import static io.waxwingquay.reservation.SlotBookFixture.RELAXED;
import static io.waxwingquay.reservation.SlotBookFixture.URGENT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SlotCapacityTest {

    private static final int SLOTS = 8;

    private final SlotCapacity capacity = new SlotCapacity();

    // Guards against urgent requests, however many, for which more than a quarter of the slots are kept free.
    @Test
    void headroomIsBounded() {
        for (int id = 0; id < 1_000; id++) {
            capacity.requested(SlotBookFixture.request(id, URGENT), 0);
        }
        assertEquals(SLOTS / 4, capacity.headroom(RELAXED, SLOTS, 0));
        assertEquals(0, capacity.headroom(URGENT, SLOTS, 0));
        assertEquals(0, capacity.headroom(RELAXED, SLOTS, RankRates.SILENT_MILLIS));
    }

    // Guards against a rank that is denied by the least rate although slots become free for it all the time.
    @Test
    void slotsGrantedToARankShowItsRate() {
        for (int each = 0; each < 40; each++) {
            capacity.granted(URGENT, each * 100L);
            capacity.granted(URGENT, each * 100L);
            capacity.granted(RELAXED, each * 100L);
        }
        double all = capacity.perMilli(URGENT, 24, 4_000);
        double relaxed = capacity.perMilli(RELAXED, 24, 4_000);
        assertTrue(relaxed > 0.006 && relaxed < all, () -> "slots per ms " + relaxed);
    }

    // Guards against an expected wait of relaxed requests that leaves out the slots that urgent ones take meanwhile.
    @Test
    void urgentGrantsSlowDownLaterRanks() {
        double before = capacity.perMilli(RELAXED, SLOTS, 0);
        capacity.granted(URGENT, 0);
        assertTrue(capacity.perMilli(RELAXED, SLOTS, 0) < before);
        assertEquals(before, capacity.perMilli(URGENT, SLOTS, 0));
        for (int each = 0; each < 1_000; each++) {
            capacity.granted(URGENT, 0);
        }
        assertTrue(capacity.perMilli(RELAXED, SLOTS, 0) > 0);
    }
}
