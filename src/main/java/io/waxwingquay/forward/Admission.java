package io.waxwingquay.forward;

import io.waxwingquay.account.Account;
import io.waxwingquay.account.Quota;
import java.util.Optional;
import java.util.OptionalInt;

/** The account that an admitted request belongs to, and the units of its quota that it has spent. */
final class Admission {

    private final Optional<Account> account;
    private Runnable giveBack;

    private Admission(Optional<Account> account, Runnable giveBack) {
        this.account = account;
        this.giveBack = giveBack;
    }

    /** Returns the admission of a request that belongs to no account. */
    static Admission withoutAccount() {
        return new Admission(Optional.empty(), () -> {});
    }

    /** Returns the admission of a request of an account, whose units the action gives back. */
    static Admission of(Account account, Runnable giveBack) {
        return new Admission(Optional.of(account), giveBack);
    }

    Optional<String> accountName() {
        return account.map(Account::name);
    }

    /** Returns the weight of the account among those that share slots: the rate of its quota; 1 without a quota. */
    double weight() {
        return account.flatMap(Account::quota).map(Quota::perSecond).orElse(1.0);
    }

    /** Returns the priority class of the account, if it has one. */
    OptionalInt priority() {
        return account.map(Account::priority).orElse(OptionalInt.empty());
    }

    /** Gives the units back, once, as the request has not run and will not run. */
    void giveBack() {
        giveBack.run();
        giveBack = () -> {};
    }
}
