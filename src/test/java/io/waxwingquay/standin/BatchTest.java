package io.waxwingquay.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.engine.ModelEngine.Generation;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class BatchTest {

    private final StandinTimer.Manual timer = new StandinTimer.Manual();
    private final CostModel costs = new CostModel(10, 1, 1_000, 100, 2, 1_024, 0, 5_000, 0);
    private final Batch batch = new Batch(timer, costs, prompt -> false, () -> {});

    @Test
    void stepCostsTheBaseAndEachSequenceAndThePrefillOfThoseThatJoin() {
        Sequence sequence = batch.start(generation("a", "x".repeat(40), 2, 0));

        timer.advance(1_000 + 100 + 10 * 10 - 1);
        assertEquals(0, sequence.producedTokens());
        timer.advance(1);
        assertEquals(1, sequence.producedTokens());
        timer.advance(1_100);
        assertTrue(sequence.isComplete());
    }

    @Test
    void higherPriorityJoinsFirstWhenTheSlotsAreTaken() {
        batch.start(generation("a", "p", 3, 0));
        batch.start(generation("b", "p", 3, 0));
        Sequence low = batch.start(generation("low", "p", 1, 0));
        Sequence high = batch.start(generation("high", "p", 50, 5));

        timer.advance(1_000_000);
        assertTrue(low.isComplete());
        assertTrue(high.isComplete());
        assertEquals(57, batch.stats().tokens());
    }

    @Test
    void promptWithACachedPrefixCostsLess() {
        String prefix = "s".repeat(640);
        batch.start(generation("a", prefix + "one", 1, 0));
        timer.advance(1_000_000);
        batch.start(generation("b", prefix + "two", 1, 0));
        timer.advance(1_000_000);

        assertEquals(160, batch.stats().cachedPromptTokens());
    }

    // Guards against a sequence that exceeds its token limit. A request that arrives while a step is delivering tokens
    // must not begin a second step: on a busy machine that step could end first, and both steps would then use the same
    // remaining counts.
    @Test
    void requestArrivingDuringAStepDoesNotBeginASecondStep() {
        Sequence first = batch.start(generation("a", "p", 9, 0));
        Sequence second = batch.start(generation("b", "p", 2, 0));
        List<String> arrivals = new ArrayList<>(List.of("c"));
        timer.advance(1_000);
        first.addListener(() -> {
            if (first.producedTokens() == 2 && !arrivals.isEmpty()) {
                batch.start(generation(arrivals.remove(0), "p", 1, 0));
                timer.advance(1_000_000);
            }
        });

        timer.advance(1_000_000);
        timer.advance(1_000_000);
        assertEquals(2, second.producedTokens());
        assertEquals(9, first.producedTokens());
    }

    @Test
    void loadReportLags() {
        batch.load();
        timer.advance(4_000);
        batch.start(generation("a", "p", 1_000, 0));

        assertEquals(0, batch.load().running());
        timer.advance(8_000);
        assertEquals(1, batch.load().running());
    }

    private static Generation generation(String id, String prompt, int tokens, int priority) {
        return new Generation(id, "model:m@1", Optional.empty(), prompt, tokens, priority);
    }
}
