package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.manifest.Engine;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class CopyPlanTest {

    private static final HostPort FIRST = new HostPort("10.0.0.1", 80);
    private static final HostPort SECOND = new HostPort("10.0.0.2", 80);
    private static final HostPort THIRD = new HostPort("10.0.0.3", 80);
    private static final WeightLoadLimiter.Limit UNLIMITED = new WeightLoadLimiter.Limit(100, 100);
    private static final Engine ENGINE = new Engine(
            64,
            100_000,
            230,
            8,
            1.2,
            Stream.of("busy", "rare", "idle", "other", "more")
                    .map(name -> new Engine.Model(name, 72, 6_400, 1_300, 600, 0.1))
                    .toList());

    // Guards against keeping last copies that nobody uses while a busy model has a single copy: its engine is saturated
    // and rejects dozens of requests a second, although another engine holds only idle models.
    @Test
    void overloadedModelReplacesIdleModel() {
        List<CopyPlan.EngineView> engines =
                List.of(view(FIRST, "busy", "rare", "more"), view(SECOND, "idle", "other", "more"));
        CopyPlan plan = new CopyPlan(ENGINE, engines, Map.of("busy", demand(60, 120)), UNLIMITED);
        CopyPlan.Step step = plan.stepFor(SECOND).orElseThrow();
        assertEquals("busy", step.model());
        assertEquals(List.of("more"), step.evictions());
    }

    // Guards against choosing among idle models by name: the one with the lowest long-term demand is evicted.
    @Test
    void evictsIdleModelWithLowestLongTermDemand() {
        List<CopyPlan.EngineView> engines = List.of(view(FIRST, "busy", "rare"), view(SECOND, "idle", "other", "more"));
        Map<String, CopyPlan.Demand> demand = Map.of(
                "busy", demand(60, 120),
                "idle", new CopyPlan.Demand(0, 0.2, 0),
                "other", new CopyPlan.Demand(0, 0.05, 0),
                "more", new CopyPlan.Demand(0, 0.3, 0));
        CopyPlan.Step step =
                new CopyPlan(ENGINE, engines, demand, UNLIMITED).stepFor(SECOND).orElseThrow();
        assertEquals(List.of("other"), step.evictions());
    }

    // At startup no entry has reported demand yet. Moving copies then would undo the platform's own placement for no
    // gain, and the first callers would not find their models.
    @Test
    void movesNothingWithoutDemand() {
        List<CopyPlan.EngineView> engines =
                List.of(view(FIRST, "busy", "rare", "more"), view(SECOND, "busy", "idle", "more"));
        CopyPlan plan = new CopyPlan(ENGINE, engines, Map.of(), UNLIMITED);
        assertTrue(plan.stepFor(FIRST).isEmpty());
        assertTrue(plan.stepFor(SECOND).isEmpty());
    }

    @Test
    void absentModelWithDemandReplacesSpareCopy() {
        List<CopyPlan.EngineView> engines =
                List.of(view(FIRST, "busy", "rare", "more"), view(SECOND, "busy", "idle", "more"));
        CopyPlan plan = new CopyPlan(
                ENGINE,
                engines,
                Map.of("other", demand(0.5, 1), "rare", demand(0.3, 1), "idle", demand(0.3, 1)),
                UNLIMITED);
        Optional<CopyPlan.Step> step = plan.stepFor(FIRST).or(() -> plan.stepFor(SECOND));
        assertEquals("other", step.orElseThrow().model());
    }

    @Test
    void freeMemoryIsFilledWithModelWithoutCopy() {
        List<CopyPlan.EngineView> engines = List.of(view(FIRST, "busy", "rare", "more"), view(SECOND, "idle"));
        CopyPlan plan = new CopyPlan(ENGINE, engines, Map.of(), UNLIMITED);
        assertEquals("other", plan.stepFor(SECOND).orElseThrow().model());
    }

    // Three processes plan from the same view at the same moment. If more than one acted on a missing copy, all would
    // evict models for it.
    @Test
    void onlyOneEngineLoadsMissingModel() {
        List<CopyPlan.EngineView> engines =
                List.of(view(FIRST, "busy", "rare"), view(SECOND, "busy", "idle"), view(THIRD, "busy", "more"));
        CopyPlan plan = new CopyPlan(ENGINE, engines, Map.of("other", demand(1, 1)), UNLIMITED);
        long loading = Stream.of(FIRST, SECOND, THIRD)
                .map(plan::stepFor)
                .flatMap(Optional::stream)
                .filter(step -> step.model().equals("other"))
                .count();
        assertEquals(1, loading);
    }

    // All engines lose power and restart empty while two models receive nearly all requests. If each engine loaded a
    // different model first, the busy ones would have one copy each for a second or more, and most requests would be
    // late.
    @Test
    void emptyEnginesLoadSeveralCopiesOfBusyModelAtOnce() {
        List<CopyPlan.EngineView> engines = List.of(view(FIRST), view(SECOND), view(THIRD));
        CopyPlan plan =
                new CopyPlan(ENGINE, engines, Map.of("busy", demand(60, 120), "rare", demand(0.3, 0.3)), UNLIMITED);
        assertEquals(
                List.of("busy", "busy", "busy"),
                Stream.of(FIRST, SECOND, THIRD)
                        .map(plan::stepFor)
                        .map(step -> step.orElseThrow().model())
                        .toList());
    }

    // A model without a copy is requested once every few seconds, while a busy model with dozens of requests a second
    // has three copies that are occasionally late already. None of those may be evicted for the rare model.
    @Test
    void copyOfBusyModelIsNotEvictedForRareModel() {
        List<CopyPlan.EngineView> engines = List.of(
                view(FIRST, "busy", "rare", "more"), view(SECOND, "busy", "rare", "more"), view(THIRD, "busy", "idle"));
        CopyPlan plan =
                new CopyPlan(ENGINE, engines, Map.of("busy", demand(75, 75), "other", demand(0.7, 0.7)), UNLIMITED);
        Stream.of(FIRST, SECOND, THIRD)
                .map(plan::stepFor)
                .flatMap(Optional::stream)
                .forEach(step -> assertFalse(step.evictions().contains("busy"), step.toString()));
    }

    // Demand moves to a model without a copy. Evicting a model in the middle of long answers would wait for seconds, so
    // the model is loaded by the engine whose models are not in use.
    @Test
    void absentModelIsLoadedWhereEvictedModelIsNotInUse() {
        Set<String> waitedFor = Set.of("busy", "more", "rare");
        CopyPlan.EngineView used =
                new CopyPlan.EngineView(FIRST, waitedFor, Optional.empty(), Set.of(), waitedFor, 0, 3);
        Map<String, CopyPlan.Demand> asked =
                Map.of("other", demand(5, 5), "idle", demand(1, 1), "rare", demand(1, 1), "busy", demand(90, 90));
        CopyPlan plan = new CopyPlan(ENGINE, List.of(used, view(SECOND, "busy", "idle", "rare")), asked, UNLIMITED);
        assertTrue(plan.stepFor(FIRST).isEmpty());
        assertEquals("other", plan.stepFor(SECOND).orElseThrow().model());
    }

    @Test
    void engineAtLoadLimitLeavesNextLoadToAnother() {
        CopyPlan.EngineView spent =
                new CopyPlan.EngineView(FIRST, Set.of("busy"), Optional.empty(), Set.of(), Set.of(), 1, 0);
        List<CopyPlan.EngineView> engines = List.of(spent, view(SECOND, "busy", "idle", "rare"));
        CopyPlan plan =
                new CopyPlan(ENGINE, engines, Map.of("other", demand(5, 5)), new WeightLoadLimiter.Limit(10, 1));
        assertTrue(plan.stepFor(FIRST).isEmpty());
        assertEquals("other", plan.stepFor(SECOND).orElseThrow().model());
    }

    // Guards against evicting a model that only an order with an unknown outcome may load: that frees no memory.
    @Test
    void memoryReservedForAModelIsFreedByNoEviction() {
        CopyPlan.EngineView reserving = new CopyPlan.EngineView(
                FIRST, Set.of("busy"), Set.of("idle", "rare"), Optional.empty(), Set.of(), Set.of(), 0, 0);
        Map<String, CopyPlan.Demand> asked = Map.of("busy", demand(90, 90), "other", demand(5, 5));
        new CopyPlan(ENGINE, List.of(reserving), asked, UNLIMITED)
                .stepFor(FIRST)
                .ifPresent(step -> assertTrue(reserving.reservedFor().contains(step.model()), step.toString()));
    }

    @Test
    void modelWithReservedMemoryIsLoadedIntoIt() {
        CopyPlan.EngineView reserving = new CopyPlan.EngineView(
                FIRST, Set.of("busy"), Set.of("idle", "rare"), Optional.empty(), Set.of(), Set.of(), 0, 0);
        Map<String, CopyPlan.Demand> asked = Map.of("busy", demand(90, 90), "rare", demand(5, 5));
        assertEquals(
                Optional.of(new CopyPlan.Step("rare", List.of())),
                new CopyPlan(ENGINE, List.of(reserving), asked, UNLIMITED).stepFor(FIRST));
    }

    private static CopyPlan.EngineView view(HostPort address, String... held) {
        return new CopyPlan.EngineView(address, Set.of(held), Optional.empty(), Set.of(), Set.of(), 0, 0);
    }

    private static CopyPlan.Demand demand(double perSecond, double atOnce) {
        return new CopyPlan.Demand(perSecond, perSecond, atOnce);
    }
}
