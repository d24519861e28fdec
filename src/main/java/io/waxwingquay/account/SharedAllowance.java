package io.waxwingquay.account;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.transport.generated.AccountBalance;
import io.waxwingquay.transport.generated.AccountSpending;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.IntSupplier;

/**
 * Spends against the balance that is left for all entries, as two processes beside engines add it up.
 *
 * <p>Load pattern: requests of one account come through one entry or through all of them, and change from one to the
 * other; what one entry doesn't ask for, another may spend.
 *
 * <p>A request that fits into this entry's part of half the balance is let pass at once and reported after, so that what
 * all entries have not reported stays below half of it. A larger one, or any when little is left, is reported first, and
 * waits some milliseconds for the answer. While no process answers, an equal part is spent.
 */
final class SharedAllowance implements Allowance {

    /** Share of the balance that all entries together may have spent without reporting it. */
    private static final double UNREPORTED_SHARE = 0.5;

    /** Longest time that spending stays unreported. */
    private static final long MAX_REPORT_DELAY_MILLIS = 250L;

    /** Age up to which an answer that nothing is left holds; an older one is asked for again. */
    private static final long SPENT_VALIDITY_MILLIS = 50L;

    /** Interval at which reports are repeated while no process answers. */
    private static final long REPEAT_MILLIS = 250L;

    /**
     * Checks after which a request no longer waits for the answer to the report that names it. They are counted, since
     * answers that arrive during a stall of this process are read after the check that follows it.
     */
    private static final int MAX_CHECKS = 3;

    /** The longest time after which a refused request is told to come back. */
    private static final long MAX_RETRY_AFTER_MILLIS = 10_000L;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final IntSupplier entries;
    private final Allowance.WithEqualPart fallback;
    private final AnsweredBalances answers = new AnsweredBalances();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private Quota quota;
    private long configuration;
    private long spentUnits;
    private long acknowledgedUnits;
    private long reportedUnits;
    private long grantedUnits;
    private long reportedMillis = Long.MIN_VALUE / 2;
    private long secondReportedUnits;
    private long secondReportedMillis = Long.MIN_VALUE / 2;
    private boolean reportRequested = true;
    private long promisedUntilMillis;

    /**
     * Creates an allowance that knows nothing of what others spend.
     *
     * @param quota the quota.
     * @param configuration the version of the configuration that states it.
     * @param entries the number of entries.
     * @param fallback the allowance while no process answers.
     */
    SharedAllowance(Quota quota, long configuration, IntSupplier entries, Allowance.WithEqualPart fallback) {
        this.quota = quota;
        this.configuration = configuration;
        this.entries = entries;
        this.fallback = fallback;
    }

    /** Sets the quota of a newer configuration; what has been spent stays. */
    void quota(Quota newer, long newerConfiguration) {
        quota = newer;
        fallback.quota(newer);
        configuration = newerConfiguration;
        reportRequested = true;
    }

    /** {@inheritDoc} */
    @Override
    public void spend(long units, long nowMillis, Decision decision) {
        OptionalDouble balance = balance(nowMillis);
        if (balance.isEmpty() && !answers.isAnswerExpected(nowMillis)) {
            reportRequested |= nowMillis - reportedMillis >= REPEAT_MILLIS;
            spendOwnPart(units, nowMillis, decision);
        } else if (balance.isEmpty()) {
            waitForAnswer(units, decision);
        } else if (waiting.isEmpty() && units <= ownPart(balance.getAsDouble()) - unacknowledgedUnits()) {
            spentUnits += units;
            decision.decided(OptionalLong.empty());
        } else if (balance.getAsDouble() <= 0 && answers.ageMillis(nowMillis) <= SPENT_VALIDITY_MILLIS) {
            decision.decided(OptionalLong.of(retryAfterMillis(-balance.getAsDouble(), units, nowMillis)));
        } else {
            waitForAnswer(units, decision);
        }
    }

    private void waitForAnswer(long units, Decision decision) {
        reportRequested = true;
        waiting.add(new Waiting(units, decision));
    }

    private void spendOwnPart(long units, long nowMillis, Decision decision) {
        fallback.spend(units, nowMillis, refused -> {
            if (refused.isEmpty()) {
                spentUnits += units;
            }
            decision.decided(refused);
        });
    }

    /** {@inheritDoc} */
    @Override
    public void giveBack(long units) {
        spentUnits -= units;
        fallback.giveBack(units);
    }

    /** Returns whether a report is due now. */
    boolean isReportDue(long nowMillis) {
        long elapsedMillis = nowMillis - reportedMillis;
        return reportRequested
                || isUnanswered(nowMillis) && elapsedMillis >= REPEAT_MILLIS
                || unreportedUnits() > ownPart(balance(nowMillis).orElse(0)) / 2
                || spentUnits != reportedUnits && elapsedMillis >= MAX_REPORT_DELAY_MILLIS
                || spentUnits != secondReportedUnits && isSecondReportDue(nowMillis);
    }

    /** Returns what was spent here and no process has confirmed, be it unreported or on its way. */
    private long unacknowledgedUnits() {
        return Math.max(0, spentUnits - acknowledgedUnits);
    }

    /** Returns what no process knows yet; units that one of them has granted are known to that one. */
    private long unreportedUnits() {
        return Math.abs(spentUnits - reportedUnits - grantedUnits);
    }

    /** Returns what this entry may spend of a balance before it reports that. */
    private double ownPart(double balance) {
        return Math.max(0, balance) * UNREPORTED_SHARE / Math.max(1, entries.getAsInt());
    }

    /** Returns whether no process has answered lately. */
    boolean isUnanswered(long nowMillis) {
        return balance(nowMillis).isEmpty();
    }

    /** Returns whether everything spent has been reported. */
    boolean isReported() {
        return spentUnits == reportedUnits && spentUnits == secondReportedUnits && !reportRequested;
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Returns whether the second process, which takes over if the first is lost, should hear of the spending too. */
    boolean isSecondReportDue(long nowMillis) {
        return nowMillis - secondReportedMillis >= MAX_REPORT_DELAY_MILLIS;
    }

    /** Returns the report to the processes that are due, of those that this account has, and records it as sent. */
    AccountSpending report(String account, List<HostPort> due, List<HostPort> receivers, long number, long nowMillis) {
        waiting.forEach(request -> request.reportNumber = Math.min(request.reportNumber, number));
        answers.reported(due, receivers, nowMillis);
        if (due.size() == receivers.size()) {
            secondReportedMillis = nowMillis;
            secondReportedUnits = spentUnits;
        }
        reportRequested = false;
        reportedUnits = spentUnits;
        grantedUnits = 0;
        reportedMillis = nowMillis;
        return new AccountSpending(
                account,
                spentUnits,
                acknowledgedUnits,
                quota.perSecond(),
                quota.burst(),
                configuration,
                waiting.stream().mapToLong(request -> request.units).sum());
    }

    /**
     * Checks requests whose report has not been answered, at intervals. After the first check the second process is asked
     * too; after the last they are decided as if no process had ever answered: this entry may just have been cut off, and
     * an older balance is being spent by the others.
     */
    void checkWaiting(long nowMillis) {
        waiting.forEach(request -> request.checks++);
        reportRequested |= isSecondAsked();
        while (!waiting.isEmpty() && waiting.peek().checks >= MAX_CHECKS) {
            Waiting first = waiting.remove();
            spendOwnPart(first.units, nowMillis, first.decision);
        }
    }

    /**
     * Returns whether the second process is asked for units as well. If both always were, they could grant the last units
     * to two entries, one each.
     */
    boolean isSecondAsked() {
        return !waiting.isEmpty() && waiting.peek().checks > 0;
    }

    /** Takes the balance that a process has answered, and decides about the requests that waited for it. */
    void answered(HostPort process, long number, AccountBalance balance, long nowMillis) {
        if (!answers.answered(process, number, balance, nowMillis)) {
            return;
        }
        acknowledgedUnits = Math.max(acknowledgedUnits, balance.getSpentUnits());
        while (balance.getAskedUnits() > 0 && !waiting.isEmpty() && waiting.peek().reportNumber <= number) {
            Waiting first = waiting.remove();
            if (balance.isGranted()) {
                spentUnits += first.units;
                grantedUnits += first.units;
                first.decision.decided(OptionalLong.empty());
            } else {
                first.decision.decided(
                        OptionalLong.of(retryAfterMillis(-balance.getBalanceUnits(), first.units, nowMillis)));
            }
        }
    }

    /** Returns whether a process has left reports unanswered for so long that another one should be asked. */
    boolean isUnresponsive(HostPort process, long nowMillis) {
        return answers.isUnresponsive(process, nowMillis);
    }

    /** Describes, for a log line, what a refusal was decided by and how old that is. */
    String describe(long nowMillis) {
        OptionalDouble balance = balance(nowMillis);
        return "per_s=" + Math.round(quota.perSecond())
                + " version=" + configuration
                + " balance=" + (balance.isPresent() ? Math.round(balance.getAsDouble()) : "own_part")
                + " spent_here=" + spentUnits
                + " others_per_s=" + Math.round(answers.othersPerSecond(nowMillis))
                + " answered_by=" + answers.describe(nowMillis);
    }

    private OptionalDouble balance(long nowMillis) {
        return answers.balance(quota, spentUnits, nowMillis);
    }

    /** Spreads refused requests by the time at which this entry earns the units of each. */
    private long retryAfterMillis(double missingUnits, long units, long nowMillis) {
        double perSecond = Math.max(
                quota.perSecond() / Math.max(1, entries.getAsInt()),
                quota.perSecond() - answers.othersPerSecond(nowMillis));
        long earnedAtMillis = nowMillis + Math.round(missingUnits / quota.perSecond() * MILLIS_PER_SECOND);
        long spanMillis = Math.round(units / perSecond * MILLIS_PER_SECOND);
        long promisedMillis = Math.max(promisedUntilMillis, earnedAtMillis) + spanMillis;
        boolean isTooLate = promisedMillis - nowMillis > MAX_RETRY_AFTER_MILLIS;
        promisedUntilMillis = isTooLate ? earnedAtMillis : promisedMillis;
        return Math.max(1, Math.min(MAX_RETRY_AFTER_MILLIS, promisedMillis - nowMillis));
    }

    /** A request that waits for the answer to the report that asks for its units. */
    private static final class Waiting {

        private final long units;
        private final Decision decision;
        private long reportNumber = Long.MAX_VALUE;
        private int checks;

        Waiting(long units, Decision decision) {
            this.units = units;
            this.decision = decision;
        }
    }
}
