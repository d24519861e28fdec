package io.waxwingquay.reservation;

import static io.waxwingquay.reservation.SlotBookFixture.LIVE;
import static io.waxwingquay.reservation.SlotBookFixture.RELAXED;
import static io.waxwingquay.reservation.SlotBookFixture.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class WaitingRequestsTest {

    private final WaitingRequests queue = new WaitingRequests();

    // Guards against an expected wait that counts all requests of an account above its share as ahead of a small one.
    @Test
    void placesAnAccountOnlyUpToItsShareBeforeOthers() {
        for (int id = 0; id < 6; id++) {
            queue.add(request(id, LIVE, "hot", 1_000, 1_000), 0);
        }
        WaitingRequest small = queue.add(request(10, LIVE, "small", 0, 1_000), 0);
        queue.add(request(11, RELAXED), 0);
        FairShares shares = new FairShares();
        queue.addTo(shares);
        shares.divide(4);
        assertEquals(
                List.of(0L, 1L, 10L, 2L, 3L, 4L, 5L, 11L),
                queue.inOrder(shares).stream().map(each -> each.key().id()).toList());
        assertEquals(2, queue.ahead(small, shares));
        assertEquals(11L, queue.last().key().id());
    }

    @Test
    void removedRequestsLeaveNothing() {
        queue.add(request(1, LIVE), 0);
        queue.remove(request(1, LIVE).key());
        queue.remove(request(2, LIVE).key());
        assertTrue(queue.isEmpty());
        assertTrue(queue.ranks().isEmpty());
    }
}
