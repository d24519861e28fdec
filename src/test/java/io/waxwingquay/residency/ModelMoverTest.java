package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.fleet.ReplicaRecord;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class ModelMoverTest {

    private final ModelMover mover = new ModelMover();
    private Optional<CopyPlan.Step> plan = Optional.of(new CopyPlan.Step("new", List.of("old")));
    private int storeLoadRequests;
    private int plans;
    private Set<String> inUse = Set.of();

    private final ModelMover.Planner planner = new ModelMover.Planner() {
        @Override
        public Optional<CopyPlan.Step> nextStep(Optional<String> announced) {
            plans++;
            return plan;
        }

        @Override
        public boolean tryStartStoreLoad() {
            storeLoadRequests++;
            return storeLoadRequests == 1;
        }
    };

    @Test
    void announcesThenUnloadsThenLoads() {
        assertEquals(Optional.empty(), nextOrder(0, "old"));
        assertEquals(Optional.of("new"), mover.loadingModel());
        assertTrue(mover.modelsBeingEvicted().isEmpty());
        nextOrder(200, "old");
        assertEquals(List.of("old"), mover.modelsBeingEvicted());
        assertEquals("old", nextOrder(400, "old").orElseThrow().model());
        assertEquals(Optional.empty(), nextOrder(500));
        EngineControl.Order load = nextOrder(530).orElseThrow();
        assertEquals("new", load.model());
        mover.onAnswer(load, EngineControl.Answer.TAKEN, 500);
        assertEquals(Optional.empty(), nextOrder(600, "new"));
        assertEquals(Optional.empty(), mover.loadingModel());
    }

    // Two processes find at the same moment that a copy of the same model is missing. Each receives the other's
    // announcement, and the plan then wants the load in one place only. The other process must not have evicted
    // anything by then.
    @Test
    void withdrawsModelThatAnotherProcessLoads() {
        nextOrder(0, "old");
        plan = Optional.empty();
        nextOrder(200, "old");
        assertEquals(Optional.empty(), mover.loadingModel());
        assertTrue(mover.modelsBeingEvicted().isEmpty());
    }

    // The plan changes after the eviction. Loading another model now would leave the first without a copy, and the plan
    // would evict something for it again, back and forth.
    @Test
    void loadsModelAfterEvictionsEvenIfPlanChanged() {
        nextOrder(0, "old");
        nextOrder(200, "old");
        nextOrder(400, "old");
        plan = Optional.of(new CopyPlan.Step("old", List.of()));
        nextOrder(470);
        assertEquals("new", nextOrder(500).orElseThrow().model());
    }

    // The answer to a load order is lost. The reissued order is the same load from the weight store; if it were counted
    // twice, it would wait for the limit's next window, five seconds without the model.
    @Test
    void unansweredLoadIsReissuedAndCountedOnce() {
        nextOrder(0, "old");
        nextOrder(200, "old");
        nextOrder(400, "old");
        nextOrder(470);
        EngineControl.Order first = nextOrder(500).orElseThrow();
        mover.onAnswer(first, EngineControl.Answer.UNKNOWN, 800);
        assertEquals(first, nextOrder(800).orElseThrow());
        assertEquals(1, storeLoadRequests);
    }

    @Test
    void evictionWaitsForModelInUseUpToLimit() {
        inUse = Set.of("old");
        nextOrder(0, "old");
        nextOrder(200, "old");
        assertEquals(Optional.empty(), nextOrder(1_000, "old"));
        assertEquals("old", nextOrder(3_500, "old").orElseThrow().model());
    }

    @Test
    void engineRestartEndsMove() {
        nextOrder(0, "old");
        nextOrder(200, "old");
        mover.onEngineRestart();
        assertEquals(Optional.empty(), mover.loadingModel());
    }

    // While adapters load, the engine is polled every four milliseconds. Guards against a plan of all engines with each
    // poll, which took most of a side's processor time as soon as many models were asked for.
    @Test
    void pollsForAdaptersDoNotRepeatAnEmptyPlan() {
        plan = Optional.empty();
        for (long nowMillis = 0; nowMillis < 250; nowMillis += 4) {
            nextOrder(nowMillis, "old");
        }
        assertEquals(1, plans);
        plan = Optional.of(new CopyPlan.Step("new", List.of("old")));
        nextOrder(252, "old");
        assertEquals(Optional.of("new"), mover.loadingModel());
    }

    // Guards against an engine that begins again empty and waits for an earlier plan to expire.
    @Test
    void engineRestartIsPlannedAtOnce() {
        plan = Optional.empty();
        nextOrder(0, "old");
        mover.onEngineRestart();
        plan = Optional.of(new CopyPlan.Step("new", List.of()));
        nextOrder(4);
        assertEquals(Optional.of("new"), mover.loadingModel());
    }

    private Optional<EngineControl.Order> nextOrder(long nowMillis, String... held) {
        List<ReplicaRecord.ResidentModel> models = Stream.of(held)
                .map(name -> new ReplicaRecord.ResidentModel(name, List.of()))
                .toList();
        EngineReport report =
                new EngineReport(0, 7, false, 0, 0, 0, 0, models, Set.of(), Set.of(), Set.of(), false, List.of());
        return mover.nextOrder(report, planner, inUse, nowMillis);
    }
}
