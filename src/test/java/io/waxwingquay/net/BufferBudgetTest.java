package io.waxwingquay.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.net.BufferBudget.Holding;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class BufferBudgetTest {

    private static final int HOLDERS = 4;
    private static final int CLOSE = 9;

    // Guards against bytes that are counted twice or never given back, in whatever order owners grow, shrink and end.
    @Property(seed = "11")
    void totalIsTheSumOfTheOpenHoldingsAndEndsAtZero(
            @ForAll @Size(max = 60) List<@IntRange(max = HOLDERS * (CLOSE + 1) - 1) Integer> steps) {
        BufferBudget budget = BufferBudget.ofBytes(1_000);
        List<Holding> holdings = Stream.generate(budget::open).limit(HOLDERS).toList();
        long[] expected = new long[HOLDERS];
        boolean[] closed = new boolean[HOLDERS];
        for (int step : steps) {
            int holder = step % HOLDERS;
            int bytes = step / HOLDERS;
            if (bytes == CLOSE) {
                holdings.get(holder).close();
                closed[holder] = true;
            } else {
                holdings.get(holder).set(bytes);
            }
            expected[holder] = closed[holder] ? 0 : bytes;
            assertEquals(LongStream.of(expected).sum(), budget.heldBytes());
        }
        holdings.forEach(Holding::close);
        assertEquals(0, budget.heldBytes());
    }

    @Test
    void limitsAreHalfSevenEighthsAndAll() {
        BufferBudget budget = BufferBudget.ofBytes(800);
        Holding holding = budget.open();
        holding.set(400);
        assertFalse(budget.isOverHalf());
        holding.set(401);
        assertTrue(budget.isOverHalf());
        assertTrue(budget.hasRoomForRequest(299));
        assertFalse(budget.hasRoomForRequest(300));
        assertTrue(budget.hasRoomFor(399));
        assertFalse(budget.hasRoomFor(400));
    }

    @Test
    void disabledBudgetAlwaysHasRoom() {
        BufferBudget budget = BufferBudget.disabled();
        budget.open().set(Long.MAX_VALUE);
        assertEquals(0, budget.heldBytes());
        assertTrue(budget.hasRoomFor(Long.MAX_VALUE) && budget.hasRoomForRequest(Long.MAX_VALUE));
        assertFalse(budget.isOverHalf());
    }
}
