package io.waxwingquay.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.RefusalReason;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {

    @Property(tries = 200, seed = "20261202")
    void retriesNeverExceedBurstPlusShareOfFirstTries(@ForAll List<Boolean> isFirstTry) {
        int burst = 3;
        RetryBudget budget = RetryBudget.of(0.1, burst);
        int firsts = 0;
        int retries = 0;
        for (boolean first : isFirstTry) {
            if (first) {
                firsts++;
                budget.recordFirstAttempt();
            } else if (budget.tryAcquire()) {
                retries++;
            }
            assertTrue(retries <= burst + 0.1 * firsts);
        }
    }

    @Test
    void earnsOneRetryForTenFirstTries() {
        RetryBudget budget = RetryBudget.of(0.1, 1);
        assertTrue(budget.tryAcquire());
        assertFalse(budget.tryAcquire());
        for (int first = 0; first < 10; first++) {
            budget.recordFirstAttempt();
        }
        assertTrue(budget.tryAcquire());
        assertFalse(budget.tryAcquire());
    }

    // Many entries share a slack of 100, of which a fifth is kept back. Each might save up a whole retry, so that a
    // quiet
    // service that fails would get one from each of them at once.
    @Test
    void manyEntriesTogetherSaveUpNoMoreThanTheSlack() {
        Random random = new Random(7);
        AtomicLong nowMillis = new AtomicLong();
        List<RetryBudget> entries = IntStream.range(0, 320)
                .mapToObj(number -> RetryBudget.shared(0.2, 80.0 / 320, random.nextDouble(), nowMillis::get))
                .toList();
        entries.forEach(RetryBudgetTest::earnOne);
        nowMillis.addAndGet(10_001);
        long retries = entries.stream().filter(RetryBudget::tryAcquire).count();
        assertTrue(retries <= 100, () -> retries + " retries");
    }

    // The same, and the service is in use: what an entry earns itself it may spend, however small its part.
    @Test
    void entryWithASmallPartSpendsWhatItEarns() {
        RetryBudget budget = RetryBudget.shared(0.2, 0.25, 0, () -> 0L);
        assertFalse(budget.tryAcquire());
        earnOne(budget);
        assertTrue(budget.tryAcquire());
    }

    private static void earnOne(RetryBudget budget) {
        IntStream.range(0, 5).forEach(first -> budget.recordFirstAttempt());
    }

    // Entries come and go, and with them each one's part of the budget. If a part that grows again were filled at once,
    // entries that flap would send far more than all of them together may.
    @Test
    void burstThatShrinksAndGrowsAgainIsNotFilledAnew() {
        RetryBudget budget = RetryBudget.of(0.2, 10);
        budget.limitBurst(2);
        budget.limitBurst(10);
        assertEquals(2.0, budget.availableRetries());
        assertTrue(budget.tryAcquire());
        assertTrue(budget.tryAcquire());
        assertFalse(budget.tryAcquire());
    }

    @Property(tries = 200, seed = "20261202")
    void backoffStaysBetweenHalfAndAllOfTheDoubledWait(@ForAll @IntRange(min = 0, max = 100) int retry) {
        long delayMillis = new Backoff(20, 1_000).delayMillis(retry, new Random(retry));
        long limitMillis = Math.min(1_000, 20L << Math.min(retry, 20));
        assertTrue(delayMillis >= limitMillis / 2 && delayMillis <= limitMillis);
    }

    @Test
    void comeBackTimeFollowsTheMeasuredDrainRate() {
        RetryAfterEstimator comeBack = new RetryAfterEstimator(100, 60_000, 0);
        for (int finished = 0; finished < 10; finished++) {
            comeBack.recordCompletion(finished * 100);
        }
        long afterMillis = comeBack.delayMillis(20, 1_000, new Random(1));
        assertTrue(
                afterMillis >= 2_000 && afterMillis <= 3_000, "ten a second drain twenty in 2 s, got " + afterMillis);
    }

    @Test
    void onlyWhatDidNotRunIsRetriedForCallsThatRunAtMostOnce() {
        assertTrue(RetryPolicy.AT_MOST_ONCE.allows(Execution.DID_NOT_RUN, RefusalReason.OVERLOADED, 1_000, 5));
        assertFalse(RetryPolicy.AT_MOST_ONCE.allows(Execution.UNKNOWN, RefusalReason.TARGET_DOWN, 1_000, 5));
        assertTrue(RetryPolicy.IDEMPOTENT.allows(Execution.UNKNOWN, RefusalReason.TARGET_DOWN, 1_000, 5));
        assertFalse(RetryPolicy.IDEMPOTENT.allows(Execution.DID_NOT_RUN, RefusalReason.QUARANTINED, 1_000, 5));
        assertFalse(RetryPolicy.IDEMPOTENT.allows(Execution.DID_NOT_RUN, RefusalReason.OVERLOADED, 5, 5));
        assertEquals(true, RetryPolicy.isCheap(RefusalReason.LEAVING));
    }
}
