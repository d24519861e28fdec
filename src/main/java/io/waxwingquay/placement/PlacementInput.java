package io.waxwingquay.placement;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.membership.Side;
import io.waxwingquay.transport.generated.SideState;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What placement decides from.
 *
 * @param bundle the bundle in force.
 * @param service the service whose sides share the models.
 * @param sides the live sides of that service, in order of name.
 * @param demandUnitsPerSecond smoothed requests a second for each item over all sides.
 * @param lowDemandSinceMillis for each item whose load is below the low mark, since when; from the plan before.
 * @param nowMillis the monotonic time.
 */
public record PlacementInput(
        Bundle bundle,
        String service,
        List<LiveSide> sides,
        Map<String, Double> demandUnitsPerSecond,
        Map<String, Long> lowDemandSinceMillis,
        long nowMillis) {

    /**
     * The view of this process.
     *
     * @param bundle the bundle in force.
     * @param service the service.
     * @param sides all sides known; those of other services, leaving or silent are passed over.
     * @param previous the plan before, or {@link Plan#EMPTY}.
     * @param nowMillis the monotonic time.
     * @return the view.
     */
    public static PlacementInput of(
            Bundle bundle, String service, Collection<Side> sides, Plan previous, long nowMillis) {
        List<Side> live = sides.stream()
                .filter(side -> side.service().equals(service))
                .filter(Side::reachable)
                .filter(side -> side.state() == SideState.SERVING || side.state() == SideState.STARTING)
                .toList();
        Map<String, Double> demand = new HashMap<>();
        live.forEach(
                side -> side.demandUnitsPerSecond().forEach((item, units) -> demand.merge(item, units, Double::sum)));
        List<LiveSide> liveSides = live.stream().map(LiveSide::of).toList();
        return new PlacementInput(bundle, service, liveSides, demand, previous.lowDemandSinceMillis(), nowMillis);
    }

    PlacementInput withoutDemandAndResidency() {
        List<LiveSide> empty = sides.stream().map(LiveSide::withoutItems).toList();
        return new PlacementInput(bundle, service, empty, Map.of(), Map.of(), nowMillis);
    }

    /**
     * A live side as placement sees it.
     *
     * @param id the side's name.
     * @param dataCentre its data centre.
     * @param capacityBytes accelerator memory of its target.
     * @param residentItems items resident now.
     * @param demandUnitsPerSecond its own demand for each item.
     */
    public record LiveSide(
            String id,
            String dataCentre,
            long capacityBytes,
            Set<String> residentItems,
            Map<String, Double> demandUnitsPerSecond) {

        static LiveSide of(Side side) {
            return new LiveSide(
                    side.id(),
                    side.dataCentre(),
                    side.capacityBytes(),
                    side.residentItems(),
                    side.demandUnitsPerSecond());
        }

        LiveSide withoutItems() {
            return new LiveSide(id, dataCentre, capacityBytes, Set.of(), Map.of());
        }
    }
}
