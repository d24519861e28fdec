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
        assertFalse(rule.update(23));
        assertTrue(rule.update(24));
        assertTrue(rule.isInForce());
        assertFalse(rule.update(18));
        assertTrue(rule.isInForce());
        assertTrue(rule.update(17));
        assertFalse(rule.isInForce());
        assertFalse(rule.update(23));
        assertFalse(rule.isInForce());
    }

    // Guards against a side that grants slots of an engine whose size it does not know, or that no entry asks.
    @Test
    void isOffWithoutSlotsOrEntries() {
        assertFalse(rule.update(100));
        rule.configure(OptionalInt.of(0));
        assertFalse(rule.update(0));
        assertFalse(rule.isInForce());
    }
}
