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
 * The input of a placement decision.
 *
 * @param bundle the bundle in force.
 * @param service the service whose sides share the models.
 * @param sides the live sides of that service, ordered by name.
 * @param demandUnitsPerSecond smoothed requests per second for each item, summed over all sides.
 * @param lowDemandSinceMillis when the demand of each item below the low threshold fell below it; from the previous
 *     plan.
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
     * Creates the input from what this process knows.
     *
     * @param bundle the bundle in force.
     * @param service the service.
     * @param sides all known sides; those of other services, leaving or unreachable are ignored.
     * @param previous the previous plan, or {@link Plan#EMPTY}.
     * @param nowMillis the monotonic time.
     * @return the input.
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
     * The properties of a live side that placement depends on.
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
