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
    private Set<String> inUse = Set.of();

    private final ModelMover.Planner planner = new ModelMover.Planner() {
        @Override
        public Optional<CopyPlan.Step> nextStep(Optional<String> announced) {
            return plan;
        }

        @Override
        public boolean tryStartStoreLoad() {
            storeLoadRequests++;
            return storeLoadRequests == 1;
        }
    };

    @Test
    void tellsThenUnloadsThenLoads() {
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

    // Two processes find in the same instant that a copy of the same model is missing. Each announces it and hears of
    // the
    // other; the plan then wants it of one only. The other must not have dropped anything by then.
    @Test
    void withdrawsWhatAnotherProcessBringsIn() {
        nextOrder(0, "old");
        plan = Optional.empty();
        nextOrder(200, "old");
        assertEquals(Optional.empty(), mover.loadingModel());
        assertTrue(mover.modelsBeingEvicted().isEmpty());
    }

    // What made way is gone, and the plan has changed its mind. If another model were loaded now, the first would be
    // missing and the plan would drop something for it again, to and fro.
    @Test
    void loadsWhatOthersMadeWayForThoughThePlanChanged() {
        nextOrder(0, "old");
        nextOrder(200, "old");
        nextOrder(400, "old");
        plan = Optional.of(new CopyPlan.Step("old", List.of()));
        nextOrder(470);
        assertEquals("new", nextOrder(500).orElseThrow().model());
    }

    // A load's answer is lost. The same order is given again and is still the same load from the weight store; counted
    // twice, it would wait for the ceiling's next window, five seconds with the model missing.
    @Test
    void unansweredLoadIsGivenAgainAndCountedOnce() {
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
    void modelInUseIsWaitedForButNotForEver() {
        inUse = Set.of("old");
        nextOrder(0, "old");
        nextOrder(200, "old");
        assertEquals(Optional.empty(), nextOrder(1_000, "old"));
        assertEquals("old", nextOrder(3_500, "old").orElseThrow().model());
    }

    @Test
    void engineThatBeginsAnewEndsTheMove() {
        nextOrder(0, "old");
        nextOrder(200, "old");
        mover.onEngineRestart();
        assertEquals(Optional.empty(), mover.loadingModel());
    }

    private Optional<EngineControl.Order> nextOrder(long nowMillis, String... held) {
        List<ReplicaRecord.ResidentModel> models = Stream.of(held)
                .map(name -> new ReplicaRecord.ResidentModel(name, List.of()))
                .toList();
        EngineReport report = new EngineReport(0, 7, false, 0, 0, 0, 0, models, Set.of(), Set.of(), Set.of(), false);
        return mover.nextOrder(report, planner, inUse, nowMillis);
    }
}
