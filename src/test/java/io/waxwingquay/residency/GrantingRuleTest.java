package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class GrantingRuleTest {

    private final GrantingRule rule = new GrantingRule();

    // Guards against granting that is switched with each entry that comes or goes near the bound.
    @Test
    void isInForceFromAsManyEntriesAsSlotsToThreeQuarters() {
        rule.configure(OptionalInt.of(24));
        assertFalse(rule.update(23, 0));
        assertTrue(rule.update(24, 0));
        assertTrue(rule.isInForce());
        assertFalse(rule.update(18, 60_000));
        assertTrue(rule.isInForce());
        assertFalse(rule.update(17, 89_999));
        assertTrue(rule.update(17, 90_000));
        assertFalse(rule.isInForce());
        assertFalse(rule.update(23, 90_000));
        assertFalse(rule.isInForce());
    }

    // Guards against engines that no longer grant slots because updates of busy entries are lost for some seconds.
    @Test
    void staysInForceWhileUpdatesAreMissing() {
        rule.configure(OptionalInt.of(24));
        rule.update(31, 0);
        assertFalse(rule.update(5, 29_000));
        assertFalse(rule.update(20, 29_500));
        assertFalse(rule.update(5, 59_000));
        assertTrue(rule.isInForce());
    }

    // Guards against a side that grants slots of an engine whose size it does not know, or that no entry asks.
    @Test
    void isOffWithoutSlotsOrEntries() {
        assertFalse(rule.update(100, 0));
        rule.configure(OptionalInt.of(0));
        assertFalse(rule.update(0, 0));
        assertFalse(rule.isInForce());
    }
}
