package io.waxwingquay.side;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

class DrainGateTest {

    @Test
    void refusesNewWorkAndWaitsForTheLast() {
        DrainGate gate = new DrainGate();
        assertTrue(gate.enter());
        var empty = gate.close();
        assertFalse(gate.enter());
        assertFalse(empty.isDone());
        gate.leave();
        assertTrue(empty.isDone());
    }

    @Test
    void isLinearizable() {
        new StressOptions()
                .iterations(10)
                .invocationsPerIteration(500)
                .threads(3)
                .actorsPerThread(3)
                .check(Concurrent.class);
    }

    /** Operations that run against each other. */
    public static class Concurrent {

        private final DrainGate gate = new DrainGate();

        @Operation
        public boolean enter() {
            return gate.enter();
        }

        @Operation
        public int inside() {
            return gate.inside();
        }

        @Operation
        public boolean close() {
            gate.close();
            return gate.isClosed();
        }
    }
}
