package io.waxwingquay.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The items that each side should hold. A plan orders no eviction: an item that is neither wanted nor protected stays
 * until its memory is needed.
 *
 * @param shares the share of each side, by the side's name.
 * @param lowDemandSinceMillis when the demand of each item below the low threshold fell below it; passed on to the next
 *     input.
 * @param unplacedModels models that fit on no side.
 */
public record Plan(Map<String, Share> shares, Map<String, Long> lowDemandSinceMillis, List<String> unplacedModels) {

    /** The plan before the first one is computed. */
    public static final Plan EMPTY = new Plan(Map.of(), Map.of(), List.of());

    /**
     * Returns one side's share.
     *
     * @param sideId the side's name.
     * @return its share, empty if it is not in the plan.
     */
    public Share shareOf(String sideId) {
        return shares.getOrDefault(sideId, Share.EMPTY);
    }

    /**
     * The items that one side should hold.
     *
     * @param wantedItems items to hold, most important first; together they fit in the side's memory.
     * @param protectedItems items that the side must not choose to evict.
     */
    public record Share(List<String> wantedItems, Set<String> protectedItems) {

        /** A share without items. */
        public static final Share EMPTY = new Share(List.of(), Set.of());
    }
}
