package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.manifest.Route;
import io.waxwingquay.reservation.Rank;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class WaitQueuesTest {

    private static final int ENTRIES = 33;
    private static final Rank URGENT = new Rank(0, 0, 300);
    private static final Rank LIVE = new Rank(0, 1, 300);
    private static final Rank RELAXED = new Rank(0, 1, 5_000);
    private static final Route URGENT_ROUTE = new Route(
            "r",
            "x.test",
            "/",
            Route.Kind.STREAM,
            3_000,
            300,
            150,
            0,
            List.of(new Route.Share("s", 1)),
            1,
            false,
            false);

    private final WaitQueues queues = new WaitQueues();

    @Test
    void countsEachQueueSeparately() {
        queues.joined("a", LIVE);
        queues.joined("a", LIVE);
        queues.joined("b", LIVE);
        queues.left("a", LIVE);
        assertEquals(1, queues.countAhead("a", LIVE));
        assertEquals(1, queues.countAhead("b", LIVE));
        assertEquals(0, queues.countAhead("c", LIVE));
    }

    @Test
    void requestsOfLowerRankDoNotPrecede() {
        queues.joined("a", RELAXED);
        queues.joined("a", LIVE);
        assertEquals(0, queues.countAhead("a", URGENT));
        assertEquals(1, queues.countAhead("a", LIVE));
        assertEquals(2, queues.countAhead("a", RELAXED));
    }

    @Test
    void priorityOfTheAccountGoesBeforeThatOfTheRoute() {
        queues.joined("a", new Rank(1, 0, 300));
        queues.joined("a", new Rank(0, 2, 5_000));
        assertEquals(1, queues.countAhead("a", new Rank(0, 2, 5_000)));
        assertEquals(2, queues.countAhead("a", new Rank(1, 0, 300)));
    }

    // Many long requests that can wait come at once and fill three engines of 16 slots, of which one becomes free each
    // 52 ms. Guards against rejecting every short urgent request at once because one of the others waits at its entry.
    @Test
    void urgentRequestIsQueuedThoughRelaxedOnesWaitForTheSameModel() {
        queues.joined("a", RELAXED);
        Choice.Full full = new Choice.Full(202, 52, OptionalLong.empty());
        long expectedMillis = full.expectedWaitMillis(ENTRIES * queues.countAhead("a", URGENT));
        assertTrue(WaitPolicy.mayEnqueue(URGENT_ROUTE, 0, expectedMillis, URGENT_ROUTE.timeoutMillis()));
    }

    // Guards against an entry that is busy with checks only, when hundreds of requests wait for one model and each
    // checks all engines.
    @Test
    void requestThatFindsNoRoomSparesTheOthersTheSearch() {
        queues.joined("a", LIVE);
        queues.markFull("a", 100);
        assertTrue(queues.isFull("a", 105));
        assertFalse(queues.isFull("a", 115));
        assertFalse(queues.isFull("b", 105));
    }
}
