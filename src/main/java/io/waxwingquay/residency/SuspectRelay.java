package io.waxwingquay.residency;

import io.waxwingquay.suspect.SharedSuspects;
import io.waxwingquay.transport.generated.PeerDatagram;
import io.waxwingquay.transport.generated.SuspectNews;
import java.util.List;

/**
 * Passes suspects on: what entries and other processes beside engines tell goes with the news of this engine to all of
 * them.
 */
public final class SuspectRelay {

    private final SharedSuspects suspects;

    /**
     * A relay that has heard nothing yet.
     *
     * @param suspects what it knows.
     */
    public SuspectRelay(SharedSuspects suspects) {
        this.suspects = suspects;
    }

    /**
     * Takes in what a datagram tells of suspects, if it does.
     *
     * @param datagram a datagram that has come.
     */
    public void heard(PeerDatagram datagram) {
        if (datagram.isSetEntry()) {
            suspects.merge(datagram.getEntry().getSuspects());
        } else if (datagram.isSetEngine()) {
            suspects.merge(datagram.getEngine().getSuspects());
        }
    }

    /**
     * Adds what is known to the news of the engine.
     *
     * @param datagram a datagram that is about to be sent.
     */
    public void tell(PeerDatagram datagram) {
        if (datagram.isSetEngine()) {
            List<SuspectNews> page = suspects.nextUpdate();
            datagram.getEngine().setSuspects(page.isEmpty() ? null : page);
        }
    }
}
