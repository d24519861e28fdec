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
    private int countedLoads;
    private Set<String> inUse = Set.of();

    private final ModelMover.Planner planner = new ModelMover.Planner() {
        @Override
        public Optional<CopyPlan.Step> step(Optional<String> announced) {
            return plan;
        }

        @Override
        public boolean mayLoadFromStore() {
            countedLoads++;
            return countedLoads == 1;
        }
    };

    @Test
    void tellsThenUnloadsThenLoads() {
        assertEquals(Optional.empty(), next(0, "old"));
        assertEquals(Optional.of("new"), mover.coming());
        assertTrue(mover.leaving().isEmpty());
        next(200, "old");
        assertEquals(List.of("old"), mover.leaving());
        assertEquals("old", next(400, "old").orElseThrow().model());
        assertEquals(Optional.empty(), next(500));
        EngineControl.Order load = next(530).orElseThrow();
        assertEquals("new", load.model());
        mover.answered(load, EngineControl.Answer.TAKEN, 500);
        assertEquals(Optional.empty(), next(600, "new"));
        assertEquals(Optional.empty(), mover.coming());
    }

    // Two processes find in the same instant that a copy of the same model is missing. Each announces it and hears of
    // the
    // other; the plan then wants it of one only. The other must not have dropped anything by then.
    @Test
    void withdrawsWhatAnotherProcessBringsIn() {
        next(0, "old");
        plan = Optional.empty();
        next(200, "old");
        assertEquals(Optional.empty(), mover.coming());
        assertTrue(mover.leaving().isEmpty());
    }

    // What made way is gone, and the plan has changed its mind. If another model were loaded now, the first would be
    // missing and the plan would drop something for it again, to and fro.
    @Test
    void loadsWhatOthersMadeWayForThoughThePlanChanged() {
        next(0, "old");
        next(200, "old");
        next(400, "old");
        plan = Optional.of(new CopyPlan.Step("old", List.of()));
        next(470);
        assertEquals("new", next(500).orElseThrow().model());
    }

    // A load's answer is lost. The same order is given again and is still the same load from the weight store; counted
    // twice, it would wait for the ceiling's next window, five seconds with the model missing.
    @Test
    void unansweredLoadIsGivenAgainAndCountedOnce() {
        next(0, "old");
        next(200, "old");
        next(400, "old");
        next(470);
        EngineControl.Order first = next(500).orElseThrow();
        mover.answered(first, EngineControl.Answer.UNKNOWN, 800);
        assertEquals(first, next(800).orElseThrow());
        assertEquals(1, countedLoads);
    }

    @Test
    void modelInUseIsWaitedForButNotForEver() {
        inUse = Set.of("old");
        next(0, "old");
        next(200, "old");
        assertEquals(Optional.empty(), next(1_000, "old"));
        assertEquals("old", next(3_500, "old").orElseThrow().model());
    }

    @Test
    void engineThatBeginsAnewEndsTheMove() {
        next(0, "old");
        next(200, "old");
        mover.lost();
        assertEquals(Optional.empty(), mover.coming());
    }

    private Optional<EngineControl.Order> next(long nowMillis, String... held) {
        List<ReplicaRecord.ResidentModel> models = Stream.of(held)
                .map(name -> new ReplicaRecord.ResidentModel(name, List.of()))
                .toList();
        EngineReport report = new EngineReport(0, 7, false, 0, 0, 0, 0, models, Set.of(), Set.of(), Set.of(), false);
        return mover.next(report, planner, inUse, nowMillis);
    }
}
