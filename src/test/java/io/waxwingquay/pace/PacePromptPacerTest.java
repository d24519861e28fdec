package io.waxwingquay.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.fleet.RunningRequest;
import io.waxwingquay.reservation.PromptPacer;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PacePromptPacerTest {

    private static final long SEED = 20_250_611L;
    private static final double REQUESTS_PER_SECOND = 12;
    private static final int SLOTS = 24;

    private final PacePromptPacer pacer = new PacePromptPacer();

    // Guards against spacing by the prior although the engine is slower: prompts take three times as long.
    @ParameterizedTest
    @ValueSource(doubles = {1, 3})
    void delaysFollowTheSpeedOfTheEngine(double slowdown) {
        PacedTraffic traffic = new PacedTraffic(pacer, REQUESTS_PER_SECOND / slowdown, SEED);
        traffic.engine.slowdown(slowdown);
        traffic.runUntil(8_000);
        assertEquals(traffic.engine.eventMillis(12), pacer.eventMillis(12), 0.15 * traffic.engine.eventMillis(12));
        assertEquals(38.4 / slowdown, 1 / pacer.tokenMillis(), 0.3 * 38.4 / slowdown);
    }

    // Guards against bursts of prompts that stop running streams, and against a remedy that costs more than it brings.
    @Test
    void pausesBecomeRareAndNearlyNoneWaitsForLongerThanItsObjective() {
        PacedTraffic unpaced = new PacedTraffic(PromptPacer.disabled(), REQUESTS_PER_SECOND, SEED);
        PacedTraffic paced = new PacedTraffic(pacer, REQUESTS_PER_SECOND, SEED);
        unpaced.runUntil(120_000);
        paced.runUntil(120_000);
        assertTrue(unpaced.shareOfLongPauses() > 0.08, "unpaced " + unpaced.shareOfLongPauses());
        assertTrue(paced.shareOfLongPauses() < 0.01, "paced " + paced.shareOfLongPauses());
        Map<Integer, Double> before = unpaced.firstEventMillis();
        double late = paced.firstEventMillis().entrySet().stream()
                .filter(first -> before.containsKey(first.getKey()))
                .mapToDouble(
                        first -> first.getValue() - before.get(first.getKey()) > PacedTraffic.OBJECTIVE_MILLIS ? 1 : 0)
                .average()
                .orElseThrow();
        assertTrue(late < 0.01, "late " + late);
    }

    // Guards against a prompt that is too long for any spacing and waits until its time is over.
    @Test
    void longPromptIsAdmittedBetweenShortOnes() {
        PacedTraffic traffic = new PacedTraffic(pacer, REQUESTS_PER_SECOND, SEED);
        traffic.runUntil(10_000);
        int number = traffic.submit(20_000);
        traffic.runUntil(13_000);
        assertTrue(traffic.firstEventMillis().containsKey(number));
    }

    // Guards against a caller that asks again at the stated time, in vain.
    @Test
    void promptIsAdmittedAtTheStatedTime() {
        pacer.admitted(3_000, 200, 0);
        long delayMillis = pacer.delayMillis(2_000, 200, 0);
        assertTrue(delayMillis > 1);
        assertTrue(pacer.delayMillis(2_000, 200, delayMillis - 2) > 0);
        assertEquals(0, pacer.delayMillis(2_000, 200, delayMillis));
    }

    @Test
    void nothingIsDelayedWithoutAnObjective() {
        pacer.admitted(50_000, 0, 0);
        assertEquals(0, pacer.delayMillis(50_000, 0, 0));
        assertEquals(0, pacer.delayMillis(50_000, 200, 0));
    }

    // Guards against an engine that stays full while it is slow, and one that counts as slow for ever.
    @Test
    void slowPhaseLowersTheSlotsAndIsForgotten() {
        PacedTraffic traffic = new PacedTraffic(pacer, REQUESTS_PER_SECOND, SEED);
        traffic.runUntil(30_000);
        assertEquals(SLOTS, pacer.effectiveSlots(SLOTS));
        traffic.engine.slowdown(4);
        traffic.runUntil(40_000);
        assertTrue(pacer.effectiveSlots(SLOTS) <= SLOTS / 2);
        assertTrue(pacer.effectiveSlots(SLOTS) >= SLOTS / 4);
        traffic.engine.slowdown(1);
        traffic.runUntil(50_000);
        assertEquals(SLOTS, pacer.effectiveSlots(SLOTS));
    }

    // Guards against what was learned of a lost engine that is applied to the next one in its place.
    @Test
    void newIncarnationBeginsFromThePrior() {
        PacedTraffic traffic = new PacedTraffic(pacer, REQUESTS_PER_SECOND, SEED);
        traffic.engine.slowdown(3);
        traffic.runUntil(8_000);
        pacer.admitted(50_000, 200, 8_000);
        pacer.observed(0, List.of(), 8_025);
        assertTrue(pacer.eventMillis(0) > 100);
        pacer.observed(2, List.of(), 8_050);
        assertEquals(50, pacer.eventMillis(24));
        assertEquals(1 / 38.0, pacer.tokenMillis());
        assertEquals(0, pacer.delayMillis(50_000, 200, 8_050));
    }

    // Guards against reports that are repeated, late, empty or contradictory and spoil what was learned.
    @Test
    void faultyReportsDoLittleHarm() {
        PacedTraffic traffic = new PacedTraffic(pacer, REQUESTS_PER_SECOND, SEED);
        traffic.runUntil(20_000);
        List<RunningRequest> old = traffic.engine.report(20_000);
        for (int round = 1; round <= 40; round++) {
            traffic.runUntil(20_000 + round * 250L);
            pacer.observed(1, round % 4 == 0 ? List.of() : old, traffic.nowMillis());
            pacer.observed(0, old, traffic.nowMillis() - 5_000);
        }
        traffic.runUntil(32_000);
        assertEquals(traffic.engine.eventMillis(12), pacer.eventMillis(12), 0.25 * traffic.engine.eventMillis(12));
        assertEquals(SLOTS, pacer.effectiveSlots(SLOTS));
    }
}
