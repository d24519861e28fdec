package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class CallerAgeTest {

    private final CallerAge age = new CallerAge();

    @Test
    void ageIsWhatIsMissingFromTheUsualDeadline() {
        arrive(10, 12_000);
        arrive(4, 8_500);
        assertEquals(3_500, ageMillis(8_500));
        assertEquals(0, ageMillis(12_000));
        assertEquals(0, ageMillis(14_000));
    }

    // Guards against first attempts that are ordered by how long their way to the entry took.
    @Test
    void differenceOfUnderThreePercentIsNoAge() {
        arrive(10, 12_000);
        assertEquals(0, ageMillis(11_641));
        assertEquals(360, ageMillis(11_640));
    }

    // Guards against ages by a deadline that callers of the route no longer have.
    @Test
    void onlyTheLast64DeadlinesOfTheRouteCount() {
        arrive(500, 12_000);
        arrive(64, 4_000);
        age.arrived("other", Optional.of(90_000L));
        assertEquals(0, ageMillis(4_000));
    }

    // Guards against callers that gain an age by a deadline that is missing or makes no sense.
    @Test
    void callerWithoutADeadlineHasNoAge() {
        assertEquals(0, ageMillis(5));
        arrive(10, 12_000);
        arrive(40, -1);
        assertEquals(0, age.ageMillis("r", Optional.empty()));
        assertEquals(0, ageMillis(Long.MIN_VALUE));
        assertEquals(2_000, ageMillis(10_000));
    }

    private void arrive(int times, long remainingMillis) {
        IntStream.range(0, times).forEach(number -> age.arrived("r", Optional.of(remainingMillis)));
    }

    private long ageMillis(long remainingMillis) {
        return age.ageMillis("r", Optional.of(remainingMillis));
    }
}
