package io.waxwingquay.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.account.AccessKey;
import io.waxwingquay.account.Account;
import io.waxwingquay.account.Accounts;
import io.waxwingquay.account.Quota;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AccountReaderTest {

    @Test
    void readsAnAccountWithItsKeysAndQuota() throws Exception {
        Accounts accounts = read(
                """
                [{"name":"forge","api_keys":["k1","k2"],"priority":1,"unit":"token_stream","plain_tokens":200,
                 "rate_per_s":1000,"burst":500}]""");
        Account account = accounts.findByKey(AccessKey.of("k2")).orElseThrow();
        assertEquals("forge", account.name());
        assertEquals(OptionalInt.of(1), account.priority());
        assertEquals(Optional.of(new Quota(1_000, 500, Quota.Unit.TOKENS, 200)), account.quota());
        assertEquals(1_540, account.units(1_460, 80));
        assertEquals(200, account.units(0, 0));
    }

    @Test
    void countsRequestsWhereNoUnitIsStatedAndLimitsNothingWithoutARate() throws Exception {
        Accounts accounts = read(
                """
                [{"name":"a","api_keys":["k1"],"rate_per_s":5,"burst":2},{"name":"b","api_keys":["k2"],"rate_per_s":0}]""");
        assertEquals(1, accounts.find("a").orElseThrow().units(1_460, 80));
        assertEquals(Optional.empty(), accounts.find("b").orElseThrow().quota());
    }

    @Test
    void asksForNoKeysWhereThereAreNoAccounts() throws Exception {
        assertFalse(AccountReader.read(JsonFields.read("{}".getBytes(StandardCharsets.UTF_8)))
                .isRequired());
        assertFalse(read("[]").isRequired());
        assertFalse(read("null").isRequired());
    }

    // Guards against a malformed account that lets anyone in, or that keeps the other accounts out.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"api_keys\":[\"bad\"]}",
                "{\"name\":\"x\",\"api_keys\":\"bad\"}",
                "{\"name\":\"x\",\"api_keys\":[\"bad\"],\"rate_per_s\":-1}",
                "{\"name\":\"x\",\"api_keys\":[\"bad\"],\"rate_per_s\":\"5\"}",
                "{\"name\":\"x\",\"api_keys\":[\"bad\"],\"rate_per_s\":5,\"burst\":-1}",
                "{\"name\":\"x\",\"api_keys\":[\"bad\"],\"rate_per_s\":5,\"unit\":\"joule\"}",
                "{\"name\":\"good\",\"api_keys\":[\"bad\"]}",
                "7"
            })
    void accountThatCannotBeReadLetsNobodyIn(String malformed) throws Exception {
        Accounts accounts = read("[{\"name\":\"good\",\"api_keys\":[\"k1\"]}," + malformed + "]");
        assertTrue(accounts.isRequired());
        assertEquals(Optional.empty(), accounts.findByKey(AccessKey.of("bad")));
        assertEquals(
                "good", accounts.findByKey(AccessKey.of("k1")).orElseThrow().name());
    }

    // Guards against a list of another type that is taken for a configuration without accounts.
    @Test
    void accountsOfAnotherTypeLetNobodyIn() throws Exception {
        assertTrue(read("{\"name\":\"x\"}").isRequired());
        assertTrue(read("\"x\"").isRequired());
    }

    // Guards against a key at two accounts that lets its client act for either.
    @Test
    void keyOfTwoAccountsIdentifiesNeither() throws Exception {
        Accounts accounts =
                read("[{\"name\":\"a\",\"api_keys\":[\"k1\",\"k2\"]},{\"name\":\"b\",\"api_keys\":[\"k1\"]}]");
        assertEquals(Optional.empty(), accounts.findByKey(AccessKey.of("k1")));
        assertTrue(accounts.findByKey(AccessKey.of("k2")).isPresent());
    }

    // Guards against a key that reaches a log line or a dump by way of a value's text.
    @Test
    void keyIsNotPartOfAnyText() throws Exception {
        assertFalse(read("[{\"name\":\"a\",\"api_keys\":[\"secret-7\"]}]")
                .all()
                .toString()
                .contains("secret-7"));
    }

    private static Accounts read(String list) throws Exception {
        return AccountReader.read(JsonFields.read(("{\"tenants\":" + list + "}").getBytes(StandardCharsets.UTF_8)));
    }
}
