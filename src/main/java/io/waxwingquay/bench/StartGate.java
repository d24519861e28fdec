package io.waxwingquay.bench;

import io.waxwingquay.placement.Plan;
import io.waxwingquay.placement.Strategy;
import io.waxwingquay.placement.View;
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

    Strategy before(Strategy inner) {
        return view -> open.get() ? inner.plan(view) : keep(view);
    }

    private static Plan keep(View view) {
        return new Plan(
                view.sides().stream().collect(Collectors.toMap(View.Holder::id, StartGate::held)), Map.of(), List.of());
    }

    private static Plan.Share held(View.Holder holder) {
        return new Plan.Share(List.copyOf(holder.residentItems()), Set.copyOf(holder.residentItems()));
    }
}
