package io.waxwingquay.residency;

import java.util.OptionalInt;

/**
 * Decides whether a side grants the slots of its engine: from as many entries as slots, when the share of each entry is no
 * longer a whole slot, until there have been fewer than three quarters as many for some time. A single entry that comes or
 * goes changes nothing.
 *
 * <p>Failure: updates of many entries are lost or late while they are busy. Symptom: if their number counted at once, some
 * engines of a service would no longer grant slots, just when it is overloaded, and all entries would overfill these.
 */
final class GrantingRule {

    /** Granting ends below {@code OFF_NUMERATOR / OFF_DENOMINATOR} of the slots. */
    private static final int OFF_NUMERATOR = 3;

    private static final int OFF_DENOMINATOR = 4;

    /** Time for which there have to be too few entries; granting slots to few entries does no harm meanwhile. */
    static final long OFF_AFTER_MILLIS = 30_000L;

    private OptionalInt slots = OptionalInt.empty();
    private long enoughAtMillis;
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
     * @param nowMillis the monotonic time.
     * @return whether the decision changed.
     */
    boolean update(int entries, long nowMillis) {
        boolean before = inForce;
        if (entries > 0 && slots.isPresent() && isEnough(entries, slots.getAsInt())) {
            inForce = true;
            enoughAtMillis = nowMillis;
        } else if (slots.isEmpty() || nowMillis - enoughAtMillis >= OFF_AFTER_MILLIS) {
            inForce = false;
        }
        return inForce != before;
    }

    private boolean isEnough(int entries, int slotCount) {
        return inForce ? entries * OFF_DENOMINATOR >= slotCount * OFF_NUMERATOR : entries >= slotCount;
    }
}
