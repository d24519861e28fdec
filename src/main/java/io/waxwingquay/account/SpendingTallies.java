package io.waxwingquay.account;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.transport.generated.AccountSpending;
import io.waxwingquay.transport.generated.SpendingReply;
import io.waxwingquay.transport.generated.SpendingReport;
import java.util.HashMap;
import java.util.Map;

/** The tallies of a process beside an engine: those of the accounts that entries report to it. */
public final class SpendingTallies {

    /** How long a tally is kept without a report; the bucket of a quota is full again long before. */
    private static final long RETENTION_MILLIS = 60_000L;

    private final Map<String, SpendingTally> tallies = new HashMap<>();
    private final QuotaTolerance tolerance;
    private long cleanedMillis;

    /**
     * Creates tallies without reports.
     *
     * @param tolerance how far quotas may be exceeded.
     */
    public SpendingTallies(QuotaTolerance tolerance) {
        this.tolerance = tolerance;
    }

    /**
     * Counts what an entry reports.
     *
     * @param entry the address of the entry.
     * @param report the report.
     * @param nowMillis the monotonic time.
     * @return what is left of the quotas that it names.
     */
    public SpendingReply report(HostPort entry, SpendingReport report, long nowMillis) {
        removeUnused(nowMillis);
        return new SpendingReply(
                report.getNumber(),
                report.getAccounts().stream()
                        .map(spending ->
                                tally(spending, nowMillis).report(entry, report.getNumber(), spending, nowMillis))
                        .toList());
    }

    private SpendingTally tally(AccountSpending spending, long nowMillis) {
        return tallies.computeIfAbsent(
                spending.getAccount(),
                name -> new SpendingTally(
                        tolerance.initialUnits(spending.getPerSecond(), spending.getBurstUnits()), nowMillis));
    }

    private void removeUnused(long nowMillis) {
        if (nowMillis - cleanedMillis > RETENTION_MILLIS) {
            cleanedMillis = nowMillis;
            tallies.values().removeIf(tally -> tally.isOlder(RETENTION_MILLIS, nowMillis));
        }
    }
}
