package io.waxwingquay.placement;

import java.util.BitSet;
import java.util.List;

/** An item during one evaluation. */
final class Item {

    final String name;
    final long sizeBytes;
    final long hash;

    /** Indexes of the sides where it is resident, the best by rank first. */
    final List<Integer> residentAt;

    /** Indexes of the sides where a copy is planned. */
    final BitSet plannedAt = new BitSet();

    Item(String name, long sizeBytes, List<Integer> residentAt) {
        this.name = name;
        this.sizeBytes = sizeBytes;
        this.hash = Rank.hash(name);
        this.residentAt = residentAt;
    }
}
