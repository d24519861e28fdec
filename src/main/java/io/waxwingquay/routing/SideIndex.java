package io.waxwingquay.routing;

import io.waxwingquay.membership.Side;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Indexes sides by service and by resident item, so that a request inspects only the sides that hold its model.
 * Immutable.
 */
public final class SideIndex {

    private final List<Side> sides;
    private final Map<String, List<Side>> byService = new HashMap<>();
    private final Map<ItemKey, List<Side>> byItem = new HashMap<>();

    private SideIndex(List<Side> sides) {
        this.sides = sides;
        sides.forEach(this::add);
    }

    /**
     * Creates an index.
     *
     * @param sides an immutable snapshot.
     * @return the index.
     */
    public static SideIndex of(List<Side> sides) {
        return new SideIndex(sides);
    }

    /**
     * Returns the sides of a service.
     *
     * @param service the service's name.
     * @return the sides in the order of the snapshot.
     */
    public List<Side> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /**
     * Returns the sides of a service on which an item is resident.
     *
     * @param service the service's name.
     * @param item the item.
     * @return the sides in the order of the snapshot.
     */
    public List<Side> holding(String service, String item) {
        return byItem.getOrDefault(new ItemKey(service, item), List.of());
    }

    private void add(Side side) {
        byService.computeIfAbsent(side.service(), name -> new ArrayList<>()).add(side);
        side.residentItems()
                .forEach(item -> byItem.computeIfAbsent(new ItemKey(side.service(), item), key -> new ArrayList<>())
                        .add(side));
    }

    private record ItemKey(String service, String item) {}

    /** Caches the index of the latest snapshot and rebuilds it only when the snapshot has changed. */
    public static final class Cache {

        private volatile SideIndex cached = SideIndex.of(List.of());

        /**
         * Returns the index of a snapshot.
         *
         * @param sides the snapshot.
         * @return its index.
         */
        public SideIndex of(List<Side> sides) {
            SideIndex current = cached;
            if (current.sides == sides) {
                return current;
            }
            SideIndex created = SideIndex.of(sides);
            cached = created;
            return created;
        }
    }
}
