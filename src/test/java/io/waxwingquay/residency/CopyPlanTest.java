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

    // All of a busy model's callers go to one engine, which runs all it can; each second dozens are refused while
    // another engine holds models that nobody asks for. The busy model's second copy goes before their last ones.
    @Test
    void overloadedModelGetsACopyInPlaceOfOneThatNobodyAsksFor() {
        List<CopyPlan.EngineView> engines =
                List.of(view(FIRST, "busy", "rare", "more"), view(SECOND, "idle", "other", "more"));
        CopyPlan plan = new CopyPlan(ENGINE, engines, Map.of("busy", demand(60, 120)), UNLIMITED);
        CopyPlan.Step step = plan.stepFor(SECOND).orElseThrow();
        assertEquals("busy", step.model());
        assertEquals(List.of("more"), step.evictions());
    }

    // Guards against a choice by name among models that are silent now: the one asked for least over a longer time
    // goes.
    @Test
    void ofSilentModelsTheOneAskedForLeastMakesWay() {
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

    // At a start no entry has told yet what callers ask for. If copies moved then, the platform's own placement would
    // be
    // undone for nothing, and the first callers would find their models gone.
    @Test
    void nothingIsMovedBeforeAnythingIsAskedFor() {
        List<CopyPlan.EngineView> engines =
                List.of(view(FIRST, "busy", "rare", "more"), view(SECOND, "busy", "idle", "more"));
        CopyPlan plan = new CopyPlan(ENGINE, engines, Map.of(), UNLIMITED);
        assertTrue(plan.stepFor(FIRST).isEmpty());
        assertTrue(plan.stepFor(SECOND).isEmpty());
    }

    @Test
    void absentModelThatIsAskedForTakesTheRoomOfASpareCopy() {
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
    void freeRoomIsFilledWithWhatNoEngineHolds() {
        List<CopyPlan.EngineView> engines = List.of(view(FIRST, "busy", "rare", "more"), view(SECOND, "idle"));
        CopyPlan plan = new CopyPlan(ENGINE, engines, Map.of(), UNLIMITED);
        assertEquals("other", plan.stepFor(SECOND).orElseThrow().model());
    }

    // Three processes see the same view in the same instant. Only one of them may act for a model that one copy of is
    // missing, or all drop what they hold for it.
    @Test
    void processesWithTheSameViewDoNotChooseTheSameModel() {
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

    // All engines lose power and come back empty while two models take nearly all requests. Were each engine to bring
    // in
    // another model first, the busy ones would have one copy each for a second or more, and most callers be late.
    @Test
    void emptyEnginesBringInSeveralCopiesOfABusyModelAtOnce() {
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

    // A model is asked for once in a few seconds, and no engine holds it. Another one that dozens ask for each second
    // has
    // three copies, which are late now and then already. The rare one must not take the place of one of them.
    @Test
    void copyOfABusyModelDoesNotMakeWayForARareOne() {
        List<CopyPlan.EngineView> engines = List.of(
                view(FIRST, "busy", "rare", "more"), view(SECOND, "busy", "rare", "more"), view(THIRD, "busy", "idle"));
        CopyPlan plan =
                new CopyPlan(ENGINE, engines, Map.of("busy", demand(75, 75), "other", demand(0.7, 0.7)), UNLIMITED);
        Stream.of(FIRST, SECOND, THIRD)
                .map(plan::stepFor)
                .flatMap(Optional::stream)
                .forEach(step -> assertFalse(step.evictions().contains("busy"), step.toString()));
    }

    // Demand moves to a model that no engine holds. One engine could drop a model that is in the middle of long
    // answers,
    // and would have to wait for them for seconds; another could drop one that nobody uses at the moment.
    @Test
    void absentModelComesWhereNothingHasToBeWaitedFor() {
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
    void engineThatLoadedMuchLeavesTheNextLoadToAnother() {
        CopyPlan.EngineView spent =
                new CopyPlan.EngineView(FIRST, Set.of("busy"), Optional.empty(), Set.of(), Set.of(), 1, 0);
        List<CopyPlan.EngineView> engines = List.of(spent, view(SECOND, "busy", "idle", "rare"));
        CopyPlan plan =
                new CopyPlan(ENGINE, engines, Map.of("other", demand(5, 5)), new WeightLoadLimiter.Limit(10, 1));
        assertTrue(plan.stepFor(FIRST).isEmpty());
        assertEquals("other", plan.stepFor(SECOND).orElseThrow().model());
    }

    private static CopyPlan.EngineView view(HostPort address, String... held) {
        return new CopyPlan.EngineView(address, Set.of(held), Optional.empty(), Set.of(), Set.of(), 0, 0);
    }

    private static CopyPlan.Demand demand(double perSecond, double atOnce) {
        return new CopyPlan.Demand(perSecond, perSecond, atOnce);
    }
}
