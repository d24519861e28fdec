package io.waxwingquay.forward;

import io.waxwingquay.admission.RetryBudget;
import io.waxwingquay.net.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/** This entry's shares of the retry budgets of services. */
final class RetryBudgets {

    /** Share of the deployment's retry budget that is used; the rest covers outdated counts of entries. */
    private static final double BUDGET_SHARE = 0.8;

    private final ForwardSettings settings;
    private final IntSupplier entryCount;
    private final RandomGenerator random;
    private final Map<String, RetryBudget> byService = new HashMap<>();

    /**
     * Creates budgets of which nothing is used.
     *
     * @param settings the limits over all entries.
     * @param entryCount the number of entries that share them.
     * @param random the source of randomness.
     */
    RetryBudgets(ForwardSettings settings, IntSupplier entryCount, RandomGenerator random) {
        this.settings = settings;
        this.entryCount = entryCount;
        this.random = random;
    }

    RetryBudget ofService(String service) {
        return byService.computeIfAbsent(
                service,
                key -> RetryBudget.shared(
                        settings.retryRatio() * BUDGET_SHARE,
                        burstPerEntry(),
                        random.nextDouble(),
                        EventLoop::nowMillis));
    }

    /** Divides the bursts among the present number of entries. */
    void divide() {
        byService.values().forEach(budget -> budget.limitBurst(burstPerEntry()));
    }

    private double burstPerEntry() {
        return settings.retryBurst() * BUDGET_SHARE / entryCount.getAsInt();
    }
}
