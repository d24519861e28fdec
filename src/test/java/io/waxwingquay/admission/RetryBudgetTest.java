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

    /**
     * Guards against budgets of many entries that each round a small burst share up to a whole retry: a failing idle
     * service would get one retry from every entry at once. The total burst is 100, of which a fifth is held back.
     */
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

    /** Guards against a small burst share that stops an entry from spending the retries that it earned itself. */
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

    /**
     * Guards against refilling the budget when its burst grows again. Entries that repeatedly leave and rejoin would
     * then send far more retries than the total burst.
     */
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
                delayMillis >= 2_000 && delayMillis <= 3_000,
                "10 requests per second drain 20 in 2 s, got " + delayMillis);
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
