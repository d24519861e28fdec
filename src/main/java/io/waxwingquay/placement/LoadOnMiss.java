package io.waxwingquay.placement;

import io.waxwingquay.bundle.Bundle;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Baseline strategy: each side holds the items most requested from it of late, like a cache that evicts the least used,
 * and protects nothing.
 */
public final class LoadOnMiss implements PlacementStrategy {

    /** {@inheritDoc} */
    @Override
    public Plan plan(PlacementInput input) {
        Map<String, Long> sizeBytes = sizes(input.bundle());
        Map<String, Plan.Share> shares = new HashMap<>();
        input.sides().forEach(side -> shares.put(side.id(), new Plan.Share(mostRequested(side, sizeBytes), Set.of())));
        return new Plan(Map.copyOf(shares), Map.of(), List.of());
    }

    private static List<String> mostRequested(PlacementInput.LiveSide side, Map<String, Long> sizeBytes) {
        List<Map.Entry<String, Double>> byDemand =
                new ArrayList<>(side.demandUnitsPerSecond().entrySet());
        byDemand.sort(Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder())
                .thenComparing(Map.Entry.comparingByKey()));
        List<String> wanted = new ArrayList<>();
        long freeBytes = side.capacityBytes();
        for (Map.Entry<String, Double> item : byDemand) {
            Long size = sizeBytes.get(item.getKey());
            if (size != null && size <= freeBytes) {
                wanted.add(item.getKey());
                freeBytes -= size;
            }
        }
        return List.copyOf(wanted);
    }

    private static Map<String, Long> sizes(Bundle bundle) {
        Map<String, Long> sizes = new HashMap<>();
        bundle.models().forEach(model -> sizes.put(model.item(), model.sizeBytes()));
        bundle.adapters().forEach(adapter -> sizes.put(adapter.item(), adapter.sizeBytes()));
        return sizes;
    }
}
