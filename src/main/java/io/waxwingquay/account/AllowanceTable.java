package io.waxwingquay.account;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.peer.UpdateSequence;
import io.waxwingquay.placement.RendezvousHash;
import io.waxwingquay.transport.generated.AccountSpending;
import io.waxwingquay.transport.generated.SpendingReply;
import io.waxwingquay.transport.generated.SpendingReport;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * The allowances of one entry for all accounts with a quota, and the reports that it owes to the processes that add up
 * the spending. Each account has two of them, chosen by rendezvous hashing, so that every entry reports to the same ones
 * and the loss of one loses nothing. Only accounts that are used here are reported.
 */
public final class AllowanceTable {

    /** Processes that add up the spending of one account. */
    private static final int RECEIVERS = 2;

    /** Processes considered for one account if some do not answer. */
    private static final int CANDIDATES = 8;

    /** How long a process that did not answer is passed over. */
    private static final long UNRESPONSIVE_MILLIS = 3_000L;

    /** Accounts whose balance is asked for before their first request; with more, only those in use are. */
    private static final int MAX_ASKED_AHEAD = 256;

    /** Accounts in one report, which fits a datagram. */
    private static final int MAX_ACCOUNTS_PER_REPORT = 12;

    /** Divisor of the equal part of an entry that none of the known processes answers. */
    private static final int CUT_OFF_DIVISOR = 6;

    private final QuotaTolerance tolerance;
    private final IntSupplier entries;
    private final RandomGenerator random;
    private final LongSupplier clockMillis;
    private final UpdateSequence numbers;
    private final Map<String, SharedAllowance> allowances = new HashMap<>();
    private final Map<String, List<HostPort>> candidates = new HashMap<>();
    private final Map<HostPort, Long> unresponsiveUntilMillis = new HashMap<>();
    private final Set<String> unreported = new LinkedHashSet<>();
    private Set<HostPort> processes = Set.of();
    private long configuration;

    /**
     * Creates a table without accounts.
     *
     * @param tolerance how far quotas may be exceeded.
     * @param entries the number of entries.
     * @param random the source of randomness.
     * @param clockMillis the monotonic clock.
     */
    public AllowanceTable(
            QuotaTolerance tolerance, IntSupplier entries, RandomGenerator random, LongSupplier clockMillis) {
        this.tolerance = tolerance;
        this.entries = entries;
        this.random = random;
        this.clockMillis = clockMillis;
        this.numbers = new UpdateSequence(clockMillis.getAsLong());
    }

    /**
     * Applies the accounts of a newer configuration. What was spent of a quota that changes still counts.
     *
     * @param accounts the accounts.
     * @param version the version of the configuration.
     */
    public void configure(Accounts accounts, long version) {
        configuration = version;
        allowances
                .entrySet()
                .removeIf(entry -> !entry.getValue().hasWaiting()
                        && accounts.find(entry.getKey()).flatMap(Account::quota).isEmpty());
        allowances.forEach((name, allowance) -> accounts.find(name)
                .flatMap(Account::quota)
                .map(tolerance::widened)
                .ifPresent(quota -> allowance.quota(quota, version)));
        if (accounts.all().size() <= MAX_ASKED_AHEAD) {
            accounts.all().forEach(account -> account.quota().ifPresent(quota -> allowance(account.name(), quota)));
        }
        unreported.addAll(allowances.keySet());
    }

    /**
     * Returns whether no account has an allowance.
     *
     * @return whether there is nothing to report.
     */
    public boolean isEmpty() {
        return allowances.isEmpty();
    }

    /**
     * Sets the processes that may add up spending.
     *
     * @param current their addresses.
     */
    public void processes(Set<HostPort> current) {
        if (!current.equals(processes)) {
            processes = Set.copyOf(current);
            candidates.clear();
        }
    }

    /**
     * Spends units of an account's quota if its allowance permits it.
     *
     * @param account the account.
     * @param units the units.
     * @param decision told of the decision, before this method returns or soon after.
     */
    public void spend(Account account, long units, Allowance.Decision decision) {
        Optional<SharedAllowance> allowance = account.quota().map(quota -> allowance(account.name(), quota));
        unreportedIfPresent(account, allowance);
        allowance
                .<Allowance>map(shared -> shared)
                .orElse(Allowance.Disabled.INSTANCE)
                .spend(units, clockMillis.getAsLong(), decision);
    }

    /**
     * Gives units back whose request did not run.
     *
     * @param account the account.
     * @param units the units.
     */
    public void giveBack(Account account, long units) {
        Optional<SharedAllowance> allowance = Optional.ofNullable(allowances.get(account.name()));
        allowance.ifPresent(shared -> shared.giveBack(units));
        unreportedIfPresent(account, allowance);
    }

    /**
     * Describes what decides about an account now, for a log line.
     *
     * @param account the account.
     * @return the quota, what is known of its spending, by whom it was told and how old that is.
     */
    public String describe(Account account) {
        return Optional.ofNullable(allowances.get(account.name()))
                .map(allowance -> allowance.describe(clockMillis.getAsLong()))
                .orElse("no quota");
    }

    /**
     * Returns the reports that are due, and records them as sent.
     *
     * @return each report with its receiver.
     */
    public List<Addressed> reportsDue() {
        long nowMillis = clockMillis.getAsLong();
        long number = numbers.next();
        Map<HostPort, List<AccountSpending>> byReceiver = new HashMap<>();
        for (String account : List.copyOf(unreported)) {
            reportIfDue(account, byReceiver, number, nowMillis);
        }
        List<Addressed> reports = new ArrayList<>();
        byReceiver.forEach((receiver, spendings) -> {
            for (int from = 0; from < spendings.size(); from += MAX_ACCOUNTS_PER_REPORT) {
                List<AccountSpending> part =
                        spendings.subList(from, Math.min(spendings.size(), from + MAX_ACCOUNTS_PER_REPORT));
                reports.add(new Addressed(receiver, new SpendingReport(number, List.copyOf(part))));
            }
        });
        return reports;
    }

    /**
     * Returns whether a report about an account is due now.
     *
     * @param account the account.
     * @return whether {@link #reportsDue} would return one.
     */
    public boolean isReportDue(Account account) {
        SharedAllowance allowance = allowances.get(account.name());
        return allowance != null && !processes.isEmpty() && allowance.isReportDue(clockMillis.getAsLong());
    }

    /**
     * Checks the requests that wait for an answer, and decides about those that have waited too long; called at intervals
     * while any wait.
     *
     * @return whether more requests wait.
     */
    public boolean checkWaiting() {
        long nowMillis = clockMillis.getAsLong();
        List<SharedAllowance> waiting =
                allowances.values().stream().filter(SharedAllowance::hasWaiting).toList();
        waiting.forEach(allowance -> allowance.checkWaiting(nowMillis));
        return waiting.stream().anyMatch(SharedAllowance::hasWaiting);
    }

    /**
     * Takes the answer to a report.
     *
     * @param process the process that answers.
     * @param reply the answer.
     */
    public void replied(HostPort process, SpendingReply reply) {
        long nowMillis = clockMillis.getAsLong();
        unresponsiveUntilMillis.remove(process);
        reply.getAccounts().forEach(balance -> Optional.ofNullable(allowances.get(balance.getAccount()))
                .ifPresent(allowance -> allowance.answered(process, reply.getNumber(), balance, nowMillis)));
    }

    private void reportIfDue(
            String account, Map<HostPort, List<AccountSpending>> byReceiver, long number, long nowMillis) {
        SharedAllowance allowance = allowances.get(account);
        if (allowance == null) {
            unreported.remove(account);
            return;
        }
        if (allowance.isReportDue(nowMillis)) {
            List<HostPort> receivers = receivers(account, allowance, nowMillis);
            if (receivers.isEmpty()) {
                return;
            }
            boolean isSecondAsked = allowance.isSecondAsked();
            List<HostPort> due =
                    isSecondAsked || allowance.isSecondReportDue(nowMillis) ? receivers : receivers.subList(0, 1);
            AccountSpending first = allowance.report(account, due, receivers, number, nowMillis);
            AccountSpending second = isSecondAsked ? first : new AccountSpending(first).setAskedUnits(0);
            due.forEach(receiver -> byReceiver
                    .computeIfAbsent(receiver, address -> new ArrayList<>())
                    .add(receiver.equals(receivers.get(0)) ? first : second));
        }
        if (allowance.isReported() && !allowance.hasWaiting() && !allowance.isUnanswered(nowMillis)) {
            unreported.remove(account);
        }
    }

    private List<HostPort> receivers(String account, SharedAllowance allowance, long nowMillis) {
        List<HostPort> ranked = candidates.computeIfAbsent(account, this::rankCandidates);
        ranked.stream()
                .filter(process -> allowance.isUnresponsive(process, nowMillis))
                .forEach(process -> unresponsiveUntilMillis.put(process, nowMillis + UNRESPONSIVE_MILLIS));
        List<HostPort> responsive = ranked.stream()
                .filter(process -> unresponsiveUntilMillis.getOrDefault(process, Long.MIN_VALUE) < nowMillis)
                .limit(RECEIVERS)
                .toList();
        return responsive.isEmpty() ? ranked.stream().limit(RECEIVERS).toList() : responsive;
    }

    private List<HostPort> rankCandidates(String account) {
        long accountHash = RendezvousHash.hash(account);
        Comparator<HostPort> byScore = Comparator.comparingDouble(
                process -> -RendezvousHash.uniform(accountHash, RendezvousHash.hash(process.toString())));
        return processes.stream().sorted(byScore).limit(CANDIDATES).toList();
    }

    private SharedAllowance allowance(String account, Quota stated) {
        return allowances.computeIfAbsent(account, name -> {
            Quota quota = tolerance.widened(stated);
            double initialUnits = tolerance.initialUnits(quota.perSecond(), quota.burst());
            Allowance.WithEqualPart fallback = new Allowance.WithEqualPart(
                    quota, initialUnits, this::fallbackParts, random.nextDouble(), clockMillis.getAsLong());
            return new SharedAllowance(quota, configuration, entries, fallback);
        });
    }

    /**
     * Returns into how many parts a quota is divided while no process answers. Those that are cut off spend beside the
     * others, who go on spending all of it, so that their parts have to stay within the tolerance.
     */
    private int fallbackParts() {
        return entries.getAsInt() * (processes.isEmpty() ? 1 : CUT_OFF_DIVISOR);
    }

    private void unreportedIfPresent(Account account, Optional<SharedAllowance> allowance) {
        if (allowance.isPresent()) {
            unreported.add(account.name());
        }
    }

    /**
     * A report with its receiver.
     *
     * @param receiver the process that adds up the spending.
     * @param report the report.
     */
    public record Addressed(HostPort receiver, SpendingReport report) {}
}
