package io.waxwingquay.side;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SideRecordPublisherTest {

    private static final long FEW_SIDES_INTERVAL_MILLIS = 6_000L;
    private static final long MANY_SIDES_INTERVAL_MILLIS = 200_000L;
    private static final int MANY_SIDES = 1_000;

    @Test
    void publishesDemandChangeWithinSecondsAmongFewSides() {
        try (SideFixture fixture = new SideFixture().start(1L).tickAndCompleteOrders()) {
            int before = fixture.membership.published.size();
            submitAfter(fixture, FEW_SIDES_INTERVAL_MILLIS);
            assertTrue(fixture.membership.published.size() > before);
        }
    }

    // Guards against delayed status updates of leaving sides and suspects: if thousands of sides each published every
    // small change of demand, these would saturate the links between processes.
    @Test
    void publishesDemandChangesLessOftenAmongManySides() {
        try (SideFixture fixture = new SideFixture().start(1L).tickAndCompleteOrders()) {
            IntStream.range(0, MANY_SIDES).forEach(number -> fixture.membership.add("other-" + number, 1L));
            int before = fixture.membership.published.size();
            submitAfter(fixture, FEW_SIDES_INTERVAL_MILLIS);
            assertEquals(before, fixture.membership.published.size());
            submitAfter(fixture, MANY_SIDES_INTERVAL_MILLIS);
            assertEquals(before + 1, fixture.membership.published.size());
        }
    }

    private static void submitAfter(SideFixture fixture, long millis) {
        fixture.clock.advance(millis);
        fixture.tick();
        SideFixture.await(fixture.node.submit(SideFixture.modelCall("r" + fixture.clock.monotonicMillis(), "a")));
        fixture.tick();
    }
}
