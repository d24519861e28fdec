package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.waxwingquay.suspect.SharedSuspects;
import io.waxwingquay.suspect.SuspectRegistry.Standing;
import io.waxwingquay.transport.generated.AdapterReply;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.EntryNews;
import io.waxwingquay.transport.generated.PeerDatagram;
import java.util.Random;
import org.junit.jupiter.api.Test;

class SuspectRelayTest {

    private static final long POISON = 7;

    private final SuspectRelay relay = relay();
    private final SharedSuspects entry = suspects();

    // An entry tells the process beside one engine only. An entry that hears of another engine has to know all the
    // same.
    @Test
    void whatOneEntryTellsGoesOnFromEngineToEngineToTheOthers() {
        entry.recordCrash("a", POISON);
        entry.recordCrash("b", POISON);
        relay.heard(PeerDatagram.entry(new EntryNews().setSuspects(entry.nextUpdate())));
        SuspectRelay next = relay();
        next.heard(told(relay));
        SharedSuspects other = suspects();
        other.merge(told(next).getEngine().getSuspects());
        assertEquals(Standing.QUARANTINED, other.standing(POISON));
    }

    @Test
    void newsWithoutSuspectsStaysAsItIs() {
        relay.heard(PeerDatagram.entry(new EntryNews()));
        assertFalse(told(relay).getEngine().isSetSuspects());
        PeerDatagram reply = PeerDatagram.adapterReply(new AdapterReply(1, true));
        relay.heard(reply);
        relay.tell(reply);
        assertEquals(PeerDatagram.adapterReply(new AdapterReply(1, true)), reply);
    }

    private static PeerDatagram told(SuspectRelay relay) {
        PeerDatagram datagram = PeerDatagram.engine(new EngineNews());
        relay.tell(datagram);
        return datagram;
    }

    private static SuspectRelay relay() {
        return new SuspectRelay(suspects());
    }

    private static SharedSuspects suspects() {
        return new SharedSuspects(() -> 0, new Random(5));
    }
}
