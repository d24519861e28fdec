package io.waxwingquay.forward;

import io.waxwingquay.account.Account;
import io.waxwingquay.account.Accounts;
import io.waxwingquay.account.AllowanceTable;
import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.manifest.Route;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Decides whether a request may run: by the key of its client account, and by what is left of the account's quota.
 *
 * <p>Load pattern: one account asks for many times its quota, through few entries or all of them. What is beyond the
 * quota is refused before it takes a place in a queue or an engine, so that the other accounts are served as before.
 */
final class Gatekeeper {

    private static final System.Logger LOG = System.getLogger("waxwingquay.forward");

    private final AllowanceTable allowances;
    private final Runnable onReportDue;
    private Accounts accounts = Accounts.none();
    private long version;

    Gatekeeper(AllowanceTable allowances, Runnable onReportDue) {
        this.allowances = allowances;
        this.onReportDue = onReportDue;
    }

    /** Applies the accounts of a newer configuration. */
    void configure(Manifest manifest) {
        accounts = manifest.accounts();
        version = manifest.version();
        allowances.configure(accounts, version);
    }

    /**
     * Decides about a new request and spends its units.
     *
     * @param decision told of the decision, before this method returns or some milliseconds later.
     */
    void admit(Route route, MessageCodec.RequestHead head, Consumer<Verdict> decision) {
        if (isOpen(route)) {
            decision.accept(new Verdict.Admitted(Admission.withoutAccount()));
            return;
        }
        Optional<Account> account = findAccount(head);
        if (account.isEmpty()) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "forward: refused id={0} route={1} status=401 why=no client account holds its key key_sent={2} version={3}",
                    head.id(),
                    route.name(),
                    head.key().isPresent(),
                    version);
            decision.accept(new Verdict.Unauthorized());
            return;
        }
        long units = account.get().units(head.inputTokens(), head.maxOutputTokens());
        allowances.spend(
                account.get(),
                units,
                retryAfter -> decision.accept(verdict(route, head, account.get(), units, retryAfter)));
        if (allowances.isReportDue(account.get())) {
            onReportDue.run();
        }
    }

    private Verdict verdict(
            Route route, MessageCodec.RequestHead head, Account account, long units, OptionalLong retryAfter) {
        if (retryAfter.isEmpty()) {
            return new Verdict.Admitted(Admission.of(account, () -> allowances.giveBack(account, units)));
        }
        LOG.log(
                System.Logger.Level.INFO,
                "forward: refused id={0} route={1} status=429 why=the quota of its account is spent account={2} units={3}"
                        + " retry_after_ms={4} {5}",
                head.id(),
                route.name(),
                account.name(),
                units,
                retryAfter.getAsLong(),
                allowances.describe(account));
        return new Verdict.OverQuota(retryAfter.getAsLong());
    }

    /** Returns whether the configuration in force still lets a request run that was admitted by an earlier one. */
    boolean isStillAuthorized(Route route, MessageCodec.RequestHead head, Admission admission) {
        return isOpen(route) || findAccount(head).map(Account::name).equals(admission.accountName());
    }

    private boolean isOpen(Route route) {
        return route.open() || !accounts.isRequired();
    }

    private Optional<Account> findAccount(MessageCodec.RequestHead head) {
        return head.key().flatMap(accounts::findByKey);
    }

    /** The decision about a request. */
    sealed interface Verdict {

        /**
         * It may run.
         *
         * @param admission its account.
         */
        record Admitted(Admission admission) implements Verdict {}

        /** No account holds its key. */
        record Unauthorized() implements Verdict {}

        /**
         * The quota of its account is spent.
         *
         * @param retryAfterMillis when its client may come back.
         */
        record OverQuota(long retryAfterMillis) implements Verdict {}
    }
}
