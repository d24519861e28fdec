package io.waxwingquay.routing;

import io.waxwingquay.membership.Side;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The sides by service and by what they hold, so that a request looks at those that hold its model and not at all.
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
     * Indexes sides.
     *
     * @param sides an immutable snapshot.
     * @return the index.
     */
    public static SideIndex of(List<Side> sides) {
        return new SideIndex(sides);
    }

    /**
     * The sides of a service.
     *
     * @param service its name.
     * @return the sides in the snapshot's order.
     */
    public List<Side> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /**
     * The sides of a service that hold an item.
     *
     * @param service its name.
     * @param item the item.
     * @return the sides in the snapshot's order.
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

    /** The index of the snapshot last asked for; it is made again only when the snapshot is another. */
    public static final class Cache {

        private volatile SideIndex cached = SideIndex.of(List.of());

        /**
         * The index of a snapshot.
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
