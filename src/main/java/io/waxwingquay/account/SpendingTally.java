package io.waxwingquay.account;

import io.waxwingquay.common.DecayingSum;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.peer.UpdateSequence;
import io.waxwingquay.transport.generated.AccountBalance;
import io.waxwingquay.transport.generated.AccountSpending;
import java.util.HashMap;
import java.util.Map;

/**
 * Adds up what entries report to have spent of the quota of one account, and answers what is left for all of them.
 *
 * <p>Entries report the sum since their start, so a report that is lost, doubled or late changes nothing in the end. Of an
 * entry that is not known here only the units count that nobody has acknowledged: the rest was counted elsewhere.
 */
final class SpendingTally {

    /** Half-life of the rates of spending, from which entries estimate what others spend between two answers. */
    private static final double RATE_HALF_LIFE_MILLIS = 500.0;

    private final Map<HostPort, Spender> spenders = new HashMap<>();
    private final DecayingSum spendingOfAll = new DecayingSum(RATE_HALF_LIFE_MILLIS);
    private final TokenBucket bucket;
    private double perSecond;
    private double burstUnits;
    private long configuration;
    private long reportedMillis;

    SpendingTally(double initialUnits, long nowMillis) {
        this.bucket = new TokenBucket(initialUnits, nowMillis);
    }

    /** Counts what an entry has spent, and returns the balance. */
    AccountBalance report(HostPort entry, long number, AccountSpending spending, long nowMillis) {
        reportedMillis = nowMillis;
        if (spending.getConfiguration() >= configuration) {
            configuration = spending.getConfiguration();
            perSecond = spending.getPerSecond();
            burstUnits = spending.getBurstUnits();
        }
        bucket.refill(perSecond, burstUnits, nowMillis);
        Spender spender = spenders.computeIfAbsent(entry, name -> new Spender(number, spending.getAcknowledgedUnits()));
        double spentUnits = spender.newlySpent(number, spending);
        bucket.spend(spentUnits);
        boolean granted = bucket.units() > 0;
        if (granted) {
            spentUnits += spender.grant(spending);
            bucket.spend(spending.getAskedUnits());
        }
        spender.recent.add(spentUnits, nowMillis);
        spendingOfAll.add(spentUnits, nowMillis);
        double othersPerSecond = spendingOfAll.perSecond(nowMillis) - spender.recent.perSecond(nowMillis);
        return new AccountBalance(
                spending.getAccount(),
                spender.spentUnits,
                bucket.units(),
                Math.max(0, othersPerSecond),
                spending.getAskedUnits(),
                granted);
    }

    boolean isOlder(long millis, long nowMillis) {
        return nowMillis - reportedMillis > millis;
    }

    /** What one incarnation of an entry has spent, as last reported. */
    private static final class Spender {

        private final DecayingSum recent = new DecayingSum(RATE_HALF_LIFE_MILLIS);
        private long number;
        private long spentUnits;

        Spender(long number, long acknowledgedUnits) {
            this.number = number - 1;
            this.spentUnits = acknowledgedUnits;
        }

        /** Returns what was spent since the last report; less than 0 if more was given back. */
        double newlySpent(long newerNumber, AccountSpending spending) {
            if (UpdateSequence.isSuperseded(newerNumber, number)) {
                return 0;
            }
            long before = UpdateSequence.isSameIncarnation(newerNumber, number)
                    ? spentUnits
                    : spending.getAcknowledgedUnits();
            number = newerNumber;
            spentUnits = spending.getSpentUnits();
            return spentUnits - before;
        }

        /** Counts what it asks for as spent, and returns that. */
        long grant(AccountSpending spending) {
            spentUnits += spending.getAskedUnits();
            return spending.getAskedUnits();
        }
    }
}
