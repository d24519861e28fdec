package io.waxwingquay.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.transport.generated.SlotReply;
import io.waxwingquay.transport.generated.SlotRequest;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReservationServerTest {

    private final SlotBookFixture engine = new SlotBookFixture(1);
    private final List<SlotReply> replies = new ArrayList<>();
    private final ReservationServer server = new ReservationServer(engine.book, (entry, reply) -> replies.add(reply));

    @Test
    void mapsDecisions() {
        server.request(SlotBookFixture.ENTRY, message(1).setMaxWaitMillis(5_000));
        server.request(SlotBookFixture.ENTRY, message(2).setMaxWaitMillis(5_000));
        server.request(SlotBookFixture.ENTRY, message(3).setMaxWaitMillis(1));
        assertEquals(
                List.of("GRANTED", "QUEUED", "DENIED"),
                replies.stream().map(reply -> reply.getDecision().name()).toList());
        assertEquals(List.of(1L, 2L, 3L), replies.stream().map(SlotReply::getId).toList());
        assertEquals("room", replies.get(2).getReason());
        assertEquals(1, replies.get(2).getLoad());
        assertTrue(replies.get(2).getWaitMillis() > 0);
        assertEquals(1, server.grantedCount());
    }

    // Guards against a malformed datagram that ends the handling of all others.
    @Test
    void discardsIncompleteAndBoundsAbsurdValues() {
        server.request(SlotBookFixture.ENTRY, new SlotRequest().setId(1));
        assertTrue(replies.isEmpty());
        server.request(
                SlotBookFixture.ENTRY,
                message(2)
                        .setAccountWeight(Double.NaN)
                        .setAgeMillis(Integer.MIN_VALUE)
                        .setMaxWaitMillis(Integer.MIN_VALUE));
        assertEquals(1, replies.size());
    }

    private static SlotRequest message(long id) {
        return new SlotRequest().setId(id).setAttemptId("a" + id).setModel("m").setAccountWeight(1);
    }
}
