package io.waxwingquay.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RankRatesTest {

    private final RankRates rates = new RankRates();

    @Test
    void countsMoreUrgentRanksUntilTheyAreSilent() {
        rates.add(SlotBookFixture.URGENT, 0);
        rates.add(SlotBookFixture.RELAXED, 0);
        assertEquals(0, rates.perMilliAbove(SlotBookFixture.URGENT, 0));
        double above = rates.perMilliAbove(SlotBookFixture.LIVE, 0);
        assertTrue(above > 0);
        assertEquals(above, rates.perMilliAbove(SlotBookFixture.RELAXED, 0));
        assertEquals(0, rates.perMilliAbove(SlotBookFixture.RELAXED, RankRates.SILENT_MILLIS));
    }

    @Test
    void countsARankWithTheLessUrgentOnes() {
        rates.add(SlotBookFixture.URGENT, 0);
        rates.add(SlotBookFixture.LIVE, 0);
        rates.add(SlotBookFixture.RELAXED, 0);
        double one = rates.perMilliFrom(SlotBookFixture.RELAXED, 0);
        assertTrue(one > 0);
        assertEquals(2 * one, rates.perMilliFrom(SlotBookFixture.LIVE, 0), 1e-12);
    }

    // Guards against memory that grows with the ranks that entries send.
    @Test
    void boundsTheRanks() {
        for (int priority = 0; priority < 1_000; priority++) {
            rates.add(new Rank(0, priority, 0), 0);
        }
        assertEquals(RankRates.MAX_RANKS, rates.size());
    }
}
