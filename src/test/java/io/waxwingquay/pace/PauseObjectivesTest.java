package io.waxwingquay.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class PauseObjectivesTest {

    private final PauseObjectives objectives = new PauseObjectives();

    @Test
    void shortestIsInForceForAsLongAsItsStreamMayLast() {
        objectives.add(100, 0);
        objectives.add(200, 10_000);
        objectives.add(0, 10_000);
        assertEquals(OptionalLong.of(100), objectives.shortest(20_000));
        assertEquals(OptionalLong.of(200), objectives.shortest(20_001));
        assertEquals(OptionalLong.empty(), objectives.shortest(30_001));
    }

    // Guards against memory that grows with callers that state ever other objectives.
    @Test
    void keepsTheShortestOfManyObjectives() {
        for (long objective = 1; objective <= 1_000; objective++) {
            objectives.add(objective, 0);
        }
        assertEquals(OptionalLong.of(1), objectives.shortest(0));
        objectives.clear();
        assertEquals(OptionalLong.empty(), objectives.shortest(0));
    }
}
