package io.waxwingquay.residency;

import java.util.OptionalInt;

/**
 * Decides whether a side grants the slots of its engine: from as many entries as slots, when the share of each entry is no
 * longer a whole slot, until there are fewer than three quarters as many. A single entry that comes or goes changes nothing.
 */
final class GrantingRule {

    /** Granting ends below {@code OFF_NUMERATOR / OFF_DENOMINATOR} of the slots. */
    private static final int OFF_NUMERATOR = 3;

    private static final int OFF_DENOMINATOR = 4;

    private OptionalInt slots = OptionalInt.empty();
    private boolean inForce;

    /** Sets the number of slots; empty if it is not known. */
    void configure(OptionalInt newer) {
        slots = newer;
    }

    boolean isInForce() {
        return inForce;
    }

    /**
     * Takes the number of entries that send updates.
     *
     * @return whether the decision changed.
     */
    boolean update(int entries) {
        boolean before = inForce;
        inForce = entries > 0 && slots.isPresent() && isEnough(entries, slots.getAsInt());
        return inForce != before;
    }

    private boolean isEnough(int entries, int slotCount) {
        return inForce ? entries * OFF_DENOMINATOR >= slotCount * OFF_NUMERATOR : entries >= slotCount;
    }
}
