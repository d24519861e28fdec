package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WaitQueuesTest {

    private final WaitQueues queues = new WaitQueues();

    @Test
    void countsEachQueueSeparately() {
        queues.joined("a");
        queues.joined("a");
        queues.joined("b");
        queues.left("a");
        assertEquals(1, queues.size("a"));
        assertEquals(1, queues.size("b"));
        assertEquals(0, queues.size("c"));
    }

    // Guards against an entry that is busy with checks only, when hundreds of requests wait for one model and each
    // checks all engines.
    @Test
    void requestThatFindsNoRoomSparesTheOthersTheSearch() {
        queues.joined("a");
        queues.markFull("a", 100);
        assertTrue(queues.isFull("a", 105));
        assertFalse(queues.isFull("a", 115));
        assertFalse(queues.isFull("b", 105));
    }
}
