package io.waxwingquay.side;

import io.waxwingquay.bundle.Bundle;
import java.util.List;
import java.util.Set;

/**
 * Supplies the items that placement wants this side to hold in memory.
 */
@FunctionalInterface
public interface WantedItems {

    /**
     * Returns the items that this side should hold now.
     *
     * @param bundle the bundle in force.
     * @return the wanted and the protected items.
     */
    Wanted wanted(Bundle bundle);

    /**
     * The items that a side should hold.
     *
     * @param items the wanted model items in descending priority.
     * @param protectedItems the resident items that are the last copy of their model; they are evicted only to end an
     *     overcommit of the memory.
     */
    record Wanted(List<String> items, Set<String> protectedItems) {}
}
