package io.waxwingquay.side;

import io.waxwingquay.bundle.Bundle;
import java.util.List;
import java.util.Set;

/**
 * Placement as the order loop sees it: what this side should hold in memory.
 */
@FunctionalInterface
public interface WantedItems {

    /**
     * Decides what this side should hold now.
     *
     * @param bundle the bundle in force.
     * @return the wanted items.
     */
    Wanted wanted(Bundle bundle);

    /**
     * What a side should hold.
     *
     * @param items model items, the most wanted first.
     * @param protectedItems resident items that are the last replica and must not be evicted by choice.
     */
    record Wanted(List<String> items, Set<String> protectedItems) {}
}
