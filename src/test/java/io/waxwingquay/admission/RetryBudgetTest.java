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
    void retriesNeverExceedBurstPlusShareOfFirstAttempts(@ForAll List<Boolean> isFirstAttempt) {
        int burst = 3;
        RetryBudget budget = RetryBudget.of(0.1, burst);
        int firstAttempts = 0;
        int retries = 0;
        for (boolean first : isFirstAttempt) {
            if (first) {
                firstAttempts++;
                budget.recordFirstAttempt();
            } else if (budget.tryAcquire()) {
                retries++;
            }
            assertTrue(retries <= burst + 0.1 * firstAttempts);
        }
    }

    @Test
    void earnsOneRetryPerTenFirstAttempts() {
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
    void budgetsOfManyEntriesTogetherStayWithinTheTotalBurst() {
        Random random = new Random(7);
        AtomicLong nowMillis = new AtomicLong();
        List<RetryBudget> budgets = IntStream.range(0, 320)
                .mapToObj(number -> RetryBudget.shared(0.2, 80.0 / 320, random.nextDouble(), nowMillis::get))
                .toList();
        budgets.forEach(RetryBudgetTest::earnOneRetry);
        nowMillis.addAndGet(10_001);
        long retries = budgets.stream().filter(RetryBudget::tryAcquire).count();
        assertTrue(retries <= 100, () -> retries + " retries");
    }

    // The same, and the service is in use: what an entry earns itself it may spend, however small its part.
    @Test
    void entryWithSmallBurstShareSpendsEarnedRetries() {
        RetryBudget budget = RetryBudget.shared(0.2, 0.25, 0, () -> 0L);
        assertFalse(budget.tryAcquire());
        earnOneRetry(budget);
        assertTrue(budget.tryAcquire());
    }

    private static void earnOneRetry(RetryBudget budget) {
        IntStream.range(0, 5).forEach(first -> budget.recordFirstAttempt());
    }

    // Entries come and go, and with them each one's part of the budget. If a part that grows again were filled at once,
    // entries that flap would send far more than all of them together may.
    @Test
    void budgetIsNotRefilledWhenBurstShrinksAndGrowsAgain() {
        RetryBudget budget = RetryBudget.of(0.2, 10);
        budget.limitBurst(2);
        budget.limitBurst(10);
        assertEquals(2.0, budget.availableRetries());
        assertTrue(budget.tryAcquire());
        assertTrue(budget.tryAcquire());
        assertFalse(budget.tryAcquire());
    }

    @Property(tries = 200, seed = "20261202")
    void backoffDelayIsBetweenHalfAndAllOfTheDoubledDelay(@ForAll @IntRange(min = 0, max = 100) int retry) {
        long delayMillis = new Backoff(20, 1_000).delayMillis(retry, new Random(retry));
        long limitMillis = Math.min(1_000, 20L << Math.min(retry, 20));
        assertTrue(delayMillis >= limitMillis / 2 && delayMillis <= limitMillis);
    }

    @Test
    void retryAfterDelayFollowsTheMeasuredDrainRate() {
        RetryAfterEstimator estimator = new RetryAfterEstimator(100, 60_000, 0);
        for (int finished = 0; finished < 10; finished++) {
            estimator.recordCompletion(finished * 100);
        }
        long delayMillis = estimator.delayMillis(20, 1_000, new Random(1));
        assertTrue(
                delayMillis >= 2_000 && delayMillis <= 3_000, "ten a second drain twenty in 2 s, got " + delayMillis);
    }

    @Test
    void atMostOncePolicyRetriesOnlyRequestsThatDidNotRun() {
        assertTrue(RetryPolicy.AT_MOST_ONCE.allows(Execution.DID_NOT_RUN, RefusalReason.OVERLOADED, 1_000, 5));
        assertFalse(RetryPolicy.AT_MOST_ONCE.allows(Execution.UNKNOWN, RefusalReason.TARGET_DOWN, 1_000, 5));
        assertTrue(RetryPolicy.IDEMPOTENT.allows(Execution.UNKNOWN, RefusalReason.TARGET_DOWN, 1_000, 5));
        assertFalse(RetryPolicy.IDEMPOTENT.allows(Execution.DID_NOT_RUN, RefusalReason.QUARANTINED, 1_000, 5));
        assertFalse(RetryPolicy.IDEMPOTENT.allows(Execution.DID_NOT_RUN, RefusalReason.OVERLOADED, 5, 5));
        assertEquals(true, RetryPolicy.isCheap(RefusalReason.LEAVING));
    }
}
