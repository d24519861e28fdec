package io.waxwingquay.side;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SideRecordPublisherTest {

    private static final long SOON_MILLIS = 6_000L;
    private static final long LATE_MILLIS = 200_000L;
    private static final int MANY_SIDES = 1_000;

    @Test
    void publishesAChangeOfDemandWithinSecondsAmongFewSides() {
        try (SideBench bench = new SideBench().start(1L).settle()) {
            int before = bench.sides.published.size();
            askAndWait(bench, SOON_MILLIS);
            assertTrue(bench.sides.published.size() > before);
        }
    }

    // The caller sees news of leaving and of suspects late. Thousands of sides each publish every small change of
    // demand, and the links between processes are full of it.
    @Test
    void publishesAChangeOfDemandMoreRarelyAmongManySides() {
        try (SideBench bench = new SideBench().start(1L).settle()) {
            IntStream.range(0, MANY_SIDES).forEach(number -> bench.sides.add("other-" + number, 1L));
            int before = bench.sides.published.size();
            askAndWait(bench, SOON_MILLIS);
            assertEquals(before, bench.sides.published.size());
            askAndWait(bench, LATE_MILLIS);
            assertEquals(before + 1, bench.sides.published.size());
        }
    }

    private static void askAndWait(SideBench bench, long millis) {
        bench.clock.advance(millis);
        bench.tick();
        SideBench.await(bench.node.submit(SideBench.modelCall("r" + bench.clock.monotonicMillis(), "a")));
        bench.tick();
    }
}
