package io.waxwingquay.placement;

import java.util.BitSet;
import java.util.List;

/** An item while one plan is computed. */
final class PlanItem {

    final String name;
    final long sizeBytes;
    final long hash;

    /** Indexes of the sides where it is resident, the highest score first. */
    final List<Integer> residentSides;

    /** Indexes of the sides where a copy is planned. */
    final BitSet plannedSides = new BitSet();

    PlanItem(String name, long sizeBytes, List<Integer> residentSides) {
        this.name = name;
        this.sizeBytes = sizeBytes;
        this.hash = RendezvousHash.hash(name);
        this.residentSides = residentSides;
    }
}
