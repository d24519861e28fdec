package io.waxwingquay.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RetryTimesTest {

    private static final double PER_MILLI = 0.012;

    private final RetryTimes times = new RetryTimes(new SplittableRandom(3));

    // Guards against callers denied together that retry together, or more of them than there will be slots.
    @Test
    void booksNoMoreThanBecomeFreeInAnySpan() {
        Map<Long, Long> perSpan = IntStream.range(0, 48)
                .mapToObj(each ->
                        times.book(SlotBookFixture.LIVE, PER_MILLI, 100, 0).delayMillis())
                .collect(Collectors.groupingBy(time -> (time - 100) / 500, Collectors.counting()));
        assertEquals(8, perSpan.size());
        perSpan.values().forEach(count -> assertEquals(6, count));
    }

    // Guards against bookings of callers that never came, which would delay all later ones.
    @Test
    void bookingsExpire() {
        IntStream.range(0, 48).forEach(each -> times.book(SlotBookFixture.LIVE, PER_MILLI, 0, 0));
        assertEquals(48, times.size());
        assertTrue(times.book(SlotBookFixture.LIVE, PER_MILLI, 0, 60_000).delayMillis() <= 600);
        assertEquals(1, times.size());
    }

    // Guards against a place that stays booked after its release, and a release that takes the place of another caller.
    @Test
    void releaseFreesOnePlace() {
        RetryTimes.Retry released = times.book(SlotBookFixture.LIVE, PER_MILLI, 0, 0);
        IntStream.range(0, 5).forEach(each -> times.book(SlotBookFixture.LIVE, PER_MILLI, 0, 0));
        times.release(released);
        assertEquals(5, times.size());
        times.release(times.unbooked(SlotBookFixture.LIVE));
        times.release(times.book(SlotBookFixture.LIVE, PER_MILLI, 50_000, 0));
        assertEquals(5, times.size());
    }

    // Guards against memory that grows with denials, and a time that a caller can't wait for.
    @Test
    void boundsTimesAndBookings() {
        Map<Boolean, Long> late = IntStream.range(0, 5_000)
                .mapToObj(each ->
                        times.book(SlotBookFixture.LIVE, 0.0001, 50_000, 0).delayMillis() > 10_050)
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
        assertEquals(Map.of(false, 5_000L), late);
        assertTrue(times.size() <= 1);
    }
}
