package io.waxwingquay.peer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class UpdateSequenceTest {

    private final UpdateSequence sequence = new UpdateSequence(500_000);
    private final long first = sequence.next();
    private final long second = sequence.next();

    // Datagrams may arrive twice or out of order. A late one must not replace newer state.
    @Test
    void duplicateOrLateUpdateIsSuperseded() {
        assertTrue(UpdateSequence.isSuperseded(first, second));
        assertTrue(UpdateSequence.isSuperseded(second, second));
        assertFalse(UpdateSequence.isSuperseded(second, first));
        assertTrue(UpdateSequence.isSameIncarnation(first, second));
    }

    // A process restarts at the same address after a long incarnation. If its updates counted as superseded, others
    // would use its previous state for as long as that incarnation had lasted.
    @Test
    void updatesOfRestartedProcessAreAcceptedAtOnce() {
        long again = new UpdateSequence(500_700).next();
        assertFalse(UpdateSequence.isSuperseded(again, second));
        assertTrue(UpdateSequence.isSuperseded(second, again));
        assertFalse(UpdateSequence.isSameIncarnation(again, second));
    }

    // A restart of the VM resets its monotonic time, so the new numbers are far below those known.
    @Test
    void updatesOfProcessOnRestartedVmAreAcceptedAtOnce() {
        assertFalse(UpdateSequence.isSuperseded(new UpdateSequence(900).next(), second));
    }
}
