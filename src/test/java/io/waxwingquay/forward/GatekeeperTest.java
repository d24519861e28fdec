package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.account.AccessKey;
import io.waxwingquay.account.Account;
import io.waxwingquay.account.Accounts;
import io.waxwingquay.account.AllowanceTable;
import io.waxwingquay.account.Quota;
import io.waxwingquay.account.QuotaTolerance;
import io.waxwingquay.manifest.Manifest;
import io.waxwingquay.manifest.Route;
import io.waxwingquay.net.ServerLimits;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class GatekeeperTest {

    private static final QuotaTolerance TOLERANCE = new QuotaTolerance(1_000, 0, 4);

    private final AllowanceTable allowances = new AllowanceTable(TOLERANCE, () -> 1, new Random(1), () -> 0L);
    private final Gatekeeper gatekeeper = new Gatekeeper(allowances, () -> {});

    // A key moves to another account while a request waits. Guards against sending it under the account of before.
    @Test
    void requestWhoseKeyWasMovedIsNoLongerAuthorized() {
        configure(1, account("a", "k1", Optional.empty()));
        Admission admission = admitted(request("k1"));
        assertTrue(gatekeeper.isStillAuthorized(route(false), request("k1"), admission));
        configure(2, account("b", "k1", Optional.empty()));
        assertFalse(gatekeeper.isStillAuthorized(route(false), request("k1"), admission));
    }

    @Test
    void openRouteNeedsNoKeyAndNamesNoAccount() {
        configure(1, account("a", "k1", Optional.empty()));
        List<Gatekeeper.Verdict> verdicts = new ArrayList<>();
        gatekeeper.admit(route(true), request("k9"), verdicts::add);
        Admission admission = assertInstanceOf(Gatekeeper.Verdict.Admitted.class, verdicts.get(0))
                .admission();
        assertEquals(Optional.empty(), admission.accountName());
    }

    // Guards against a quota that is spent by requests which never ran.
    @Test
    void requestThatDidNotRunGivesItsUnitsBackOnce() {
        configure(1, account("a", "k1", Optional.of(new Quota(0.001, 1, Quota.Unit.REQUESTS, 0))));
        List<Admission> admissions = new ArrayList<>();
        for (Gatekeeper.Verdict verdict = admit(); verdict instanceof Gatekeeper.Verdict.Admitted admitted; ) {
            admissions.add(admitted.admission());
            verdict = admit();
        }
        admissions.get(0).giveBack();
        admissions.get(0).giveBack();
        assertInstanceOf(Gatekeeper.Verdict.Admitted.class, admit());
        assertInstanceOf(Gatekeeper.Verdict.OverQuota.class, admit());
    }

    private Gatekeeper.Verdict admit() {
        List<Gatekeeper.Verdict> verdicts = new ArrayList<>();
        gatekeeper.admit(route(false), request("k1"), verdicts::add);
        return verdicts.get(0);
    }

    private Admission admitted(MessageCodec.RequestHead head) {
        List<Gatekeeper.Verdict> verdicts = new ArrayList<>();
        gatekeeper.admit(route(false), head, verdicts::add);
        return assertInstanceOf(Gatekeeper.Verdict.Admitted.class, verdicts.get(0))
                .admission();
    }

    private void configure(long version, Account account) {
        gatekeeper.configure(
                new Manifest(version, List.of(), Map.of(), ServerLimits.DEFAULT, Accounts.of(List.of(account))));
    }

    private static Account account(String name, String key, Optional<Quota> quota) {
        return new Account(name, Set.of(AccessKey.of(key)), OptionalInt.empty(), quota);
    }

    private static MessageCodec.RequestHead request(String key) {
        return new MessageCodec.RequestHead(
                "r1",
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                0,
                OptionalLong.empty(),
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.of(AccessKey.of(key)));
    }

    private static Route route(boolean open) {
        return new Route(
                "r", "x.test", "/", Route.Kind.SAFE, 1, 1, 0, 0, List.of(new Route.Share("s", 1)), 1, false, open);
    }
}
