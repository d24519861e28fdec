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
 * Leaves every side what it holds until the whole deployment is up. Sides start one after another; the first would
 * take all models for its own, and the load would begin from residents that depend on chance.
 */
final class StartGate {

    private final AtomicBoolean open = new AtomicBoolean();

    void open() {
        open.set(true);
    }

    PlacementStrategy before(PlacementStrategy inner) {
        return view -> open.get() ? inner.plan(view) : keep(view);
    }

    private static Plan keep(PlacementInput view) {
        return new Plan(
                view.sides().stream().collect(Collectors.toMap(PlacementInput.LiveSide::id, StartGate::held)),
                Map.of(),
                List.of());
    }

    private static Plan.Share held(PlacementInput.LiveSide holder) {
        return new Plan.Share(List.copyOf(holder.residentItems()), Set.copyOf(holder.residentItems()));
    }
}
