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
    public void receive(PeerDatagram datagram) {
        if (datagram.isSetEntry()) {
            suspects.take(datagram.getEntry().getSuspects());
        } else if (datagram.isSetEngine()) {
            suspects.take(datagram.getEngine().getSuspects());
        }
    }

    /**
     * Adds what is known to the news of the engine.
     *
     * @param datagram a datagram that is about to be sent.
     */
    public void attachTo(PeerDatagram datagram) {
        if (datagram.isSetEngine()) {
            List<SuspectNews> page = suspects.page();
            datagram.getEngine().setSuspects(page.isEmpty() ? null : page);
        }
    }
}
