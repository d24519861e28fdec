package io.waxwingquay.placement;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What each side is to hold. It orders no eviction: an item that is neither wanted nor protected may go when room is
 * needed, and stays until then.
 *
 * @param shares the share of each side, by the side's name.
 * @param lowDemandSinceMillis since when each item's load is below the low mark; handed to the next view.
 * @param unplacedModels models for which no side has room.
 */
public record Plan(Map<String, Share> shares, Map<String, Long> lowDemandSinceMillis, List<String> unplacedModels) {

    /** The plan before any other. */
    public static final Plan EMPTY = new Plan(Map.of(), Map.of(), List.of());

    /**
     * One side's share.
     *
     * @param sideId the side's name.
     * @return its share, empty if it is not in the plan.
     */
    public Share shareOf(String sideId) {
        return shares.getOrDefault(sideId, Share.EMPTY);
    }

    /**
     * What one side is to hold.
     *
     * @param wantedItems what it is to hold, most important first; fits its memory together.
     * @param protectedItems what it must not evict by choice.
     */
    public record Share(List<String> wantedItems, Set<String> protectedItems) {

        /** Nothing. */
        public static final Share EMPTY = new Share(List.of(), Set.of());
    }
}
