package io.waxwingquay.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class LoadPacerTest {

    private static final long LOAD_MICROS = 1_000L;

    private final StandinTimer.Manual timer = new StandinTimer.Manual();

    @Test
    void loadBeyondTheLimitTakesProportionallyLonger() {
        LoadPacer pace = new LoadPacer(timer, 2, Double.POSITIVE_INFINITY, item -> LOAD_MICROS);
        CompletableFuture<Void> first = pace.load("a");
        pace.load("b");
        pace.load("c");
        CompletableFuture<Void> fourth = pace.load("d");

        timer.advance(LOAD_MICROS);
        assertTrue(first.isDone());
        assertFalse(fourth.isDone());
        timer.advance(LOAD_MICROS);
        assertTrue(fourth.isDone());
        assertEquals(4, pace.stats().maxInFlight());
        assertEquals(2, pace.stats().overLimit());
    }

    @Test
    void startsAreSpacedByTheRate() {
        LoadPacer pace = new LoadPacer(timer, 8, 2.0, item -> LOAD_MICROS);
        pace.load("a");
        CompletableFuture<Void> second = pace.load("b");

        timer.advance(499_000L + LOAD_MICROS);
        assertFalse(second.isDone());
        timer.advance(LOAD_MICROS);
        assertTrue(second.isDone());
    }
}
