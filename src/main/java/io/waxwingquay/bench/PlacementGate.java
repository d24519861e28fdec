package io.waxwingquay.bench;

import io.waxwingquay.placement.PlacementInput;
import io.waxwingquay.placement.PlacementStrategy;
import io.waxwingquay.placement.Plan;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;

/**
 * Delays placement until the whole deployment has started: until then every side keeps its residents. Sides start one
 * after another, so the first would plan every model for itself, and the load would begin from random residents.
 */
final class PlacementGate {

    private final AtomicBoolean open = new AtomicBoolean();

    void open() {
        open.set(true);
    }

    PlacementStrategy holdUntilOpen(PlacementStrategy strategy) {
        return view -> open.get() ? strategy.plan(view) : keepResidents(view);
    }

    private static Plan keepResidents(PlacementInput view) {
        return new Plan(
                view.sides().stream()
                        .collect(Collectors.toMap(PlacementInput.LiveSide::id, PlacementGate::residentShare)),
                Map.of(),
                List.of());
    }

    private static Plan.Share residentShare(PlacementInput.LiveSide side) {
        return new Plan.Share(List.copyOf(side.residentItems()), Set.copyOf(side.residentItems()));
    }
}
