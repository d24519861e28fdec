package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.HeldModel;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class EngineCostTest {

    private static final EngineRequirements REQUIREMENTS = new EngineRequirements("m", Optional.of("a1"), 0, 800);

    private final EngineCost cost = new EngineCost("a");
    private final Target target = new SelectionSimulation(
                    1,
                    List.of("b"),
                    0,
                    index -> "a",
                    (engineCost, random) -> query -> query.targets().get(0))
            .engines
            .get(0)
            .newTarget();
    private final EngineSelection.Query query =
            new EngineSelection.Query(List.of(target), Set.of(), SelectionSimulation.ENGINE, REQUIREMENTS, Set.of(), 0);

    // Guards against requests that go to another data centre after each request sent from here, which counted once for
    // each entry.
    @Test
    void reportedLoadCostsLessThanTheEstimatedOne() {
        target.update(update("a1").setRunning(8).setEntries(31), 0);
        double idleMillis = cost.reportedMillis(target, query);
        target.requestSent(Optional.of("m"), Optional.of("a1"), 0, 0);
        assertTrue(cost.reportedMillis(target, query) < idleMillis + 20);
        assertTrue(cost.estimatedMillis(target, query) > idleMillis + 100);
    }

    // Guards against preferring an engine that has the adapter by more than it takes to load it elsewhere.
    @Test
    void adapterCostsTheTimeToLoadIt() {
        target.update(update("a1"), 0);
        assertEquals(0, cost.adapterMillis(target, "a1", query));
        assertEquals(25, cost.adapterMillis(target, "a2", query));
        String[] others = Collections.nCopies(SelectionSimulation.PLACES, "x").toArray(String[]::new);
        target.update(update(others).setNumber(2), 0);
        assertEquals(40, cost.adapterMillis(target, "a2", query));
        target.update(update().setNumber(3).setLoadingModel("n").setLoadingMillis(900), 0);
        assertEquals(940, cost.adapterMillis(target, "a2", query));
    }

    // Guards against trusting an update that is no longer valid, as the side process may be gone.
    @Test
    void outdatedUpdateGrantsNoSlots() {
        assertFalse(target.grantsSlots(0));
        target.update(update().setGrantsSlots(true), 0);
        assertTrue(target.grantsSlots(0));
        assertFalse(target.grantsSlots(target.updateLifetimeMillis() + 1));
        assertFalse(cost.isInOwnZone(target));
    }

    private static EngineNews update(String... adapters) {
        return new EngineNews()
                .setEngineAddress("10.0.0.1:80")
                .setNumber(1)
                .setNearModels(List.of())
                .setModels(new ArrayList<>(List.of(new HeldModel("m", new ArrayList<>(List.of(adapters))))));
    }
}
