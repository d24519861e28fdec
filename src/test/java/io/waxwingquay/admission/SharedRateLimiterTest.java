package io.waxwingquay.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SharedRateLimiterTest {

    private static final long WINDOW_MILLIS = 4_000;
    private static final long STEP_MILLIS = 50;
    private static final long IDLE_MILLIS = 200_000;
    private static final long BUSY_MILLIS = 20_000;

    private final Random random = new Random(7);

    /** Guards against bursts of many senders that have each accumulated a request while idle. */
    @ParameterizedTest
    @CsvSource({"1, 3.7", "5, 2.8", "8, 0.5", "25, 3.7", "31, 12", "320, 3.7", "320, 60"})
    void sendersTogetherKeepTheRateAfterIdlePeriod(int senders, double perSecond) {
        List<SharedRateLimiter> limiters = IntStream.range(0, senders)
                .mapToObj(number -> SharedRateLimiter.of(perSecond, senders, random.nextDouble(), 0))
                .toList();
        Deque<Long> sent = new ArrayDeque<>();
        int maxInWindow = 0;
        for (long now = IDLE_MILLIS; now < IDLE_MILLIS + BUSY_MILLIS; now += STEP_MILLIS) {
            for (SharedRateLimiter limiter : limiters) {
                if (limiter.waitMillis(now) == 0) {
                    limiter.recordSent(now);
                    sent.add(now);
                }
            }
            while (!sent.isEmpty() && sent.peek() <= now - WINDOW_MILLIS) {
                sent.remove();
            }
            maxInWindow = Math.max(maxInWindow, sent.size());
        }
        double allowed = 1.5 * perSecond * WINDOW_MILLIS / 1_000 + 5;
        assertTrue(maxInWindow <= allowed, senders + " senders sent " + maxInWindow + ", allowed " + allowed);
    }

    /** Guards against a limiter that leaves a replica idle: steady demand must get nearly all of the rate. */
    @ParameterizedTest
    @CsvSource({"1, 3.7", "5, 2.8", "25, 3.7", "320, 60"})
    void sendersUseTheFullRateUnderSteadyDemand(int senders, double perSecond) {
        List<SharedRateLimiter> limiters = IntStream.range(0, senders)
                .mapToObj(number -> SharedRateLimiter.of(perSecond, senders, random.nextDouble(), 0))
                .toList();
        long sent = 0;
        for (long now = 0; now < IDLE_MILLIS; now += 5) {
            for (SharedRateLimiter limiter : limiters) {
                if (limiter.waitMillis(now) == 0) {
                    limiter.recordSent(now);
                    sent++;
                }
            }
        }
        assertEquals(1.0, sent / (perSecond * IDLE_MILLIS / 1_000), 0.05);
    }
}
