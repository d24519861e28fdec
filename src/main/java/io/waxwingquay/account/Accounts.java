package io.waxwingquay.account;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The client accounts of one configuration. Finding one by its key takes the same time however many there are. */
public final class Accounts {

    private static final Accounts NONE = new Accounts(false, Map.of(), Map.of());

    private final boolean required;
    private final Map<String, Account> byName;
    private final Map<AccessKey, Account> byKey;

    private Accounts(boolean required, Map<String, Account> byName, Map<AccessKey, Account> byKey) {
        this.required = required;
        this.byName = byName;
        this.byKey = byKey;
    }

    /**
     * Returns the accounts of a configuration that has none, so that nobody needs a key.
     *
     * @return no accounts.
     */
    public static Accounts none() {
        return NONE;
    }

    /**
     * Creates the accounts of a configuration that asks for keys. A key that two accounts hold identifies neither, so
     * that no caller is taken for another; of two accounts with one name the first counts.
     *
     * @param accounts the accounts; if there are none, nobody is let in.
     * @return the accounts.
     */
    public static Accounts of(Collection<Account> accounts) {
        Map<String, Account> byName = new HashMap<>();
        Map<AccessKey, Account> byKey = new HashMap<>();
        Set<AccessKey> ambiguous = new HashSet<>();
        accounts.stream()
                .filter(account -> byName.putIfAbsent(account.name(), account) == null)
                .forEach(account -> account.keys().forEach(key -> {
                    if (byKey.putIfAbsent(key, account) != null) {
                        ambiguous.add(key);
                    }
                }));
        byKey.keySet().removeAll(ambiguous);
        return new Accounts(true, Map.copyOf(byName), Map.copyOf(byKey));
    }

    /**
     * Returns whether a request needs the key of an account.
     *
     * @return whether keys are required.
     */
    public boolean isRequired() {
        return required;
    }

    /**
     * Finds the account that a key identifies.
     *
     * @param key the key.
     * @return the account, empty if no account holds the key.
     */
    public Optional<Account> findByKey(AccessKey key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /**
     * Finds an account by name.
     *
     * @param name the name.
     * @return the account.
     */
    public Optional<Account> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /**
     * Returns all accounts.
     *
     * @return the accounts, in no order.
     */
    public List<Account> all() {
        return List.copyOf(byName.values());
    }
}
