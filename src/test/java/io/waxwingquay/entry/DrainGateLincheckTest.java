package io.waxwingquay.entry;

import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Checks that no request gets in after the close and that every one inside is waited for. */
public class DrainGateLincheckTest {

    private final DrainGate gate = new DrainGate();

    @Operation
    public boolean enter() {
        return gate.tryEnter();
    }

    @Operation
    public boolean enterAndLeave() {
        boolean entered = gate.tryEnter();
        if (entered) {
            gate.leave();
        }
        return entered;
    }

    @Operation
    public boolean close() {
        return gate.close().isDone();
    }

    @Operation
    public boolean isClosed() {
        return gate.isClosed();
    }

    @Test
    void isLinearizable() {
        new StressOptions()
                .iterations(5)
                .invocationsPerIteration(500)
                .threads(2)
                .actorsPerThread(3)
                .check(DrainGateLincheckTest.class);
    }
}
