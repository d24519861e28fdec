package io.waxwingquay.residency;

import io.waxwingquay.suspect.SharedSuspects;
import io.waxwingquay.transport.generated.PeerDatagram;
import io.waxwingquay.transport.generated.PromptPartNews;
import io.waxwingquay.transport.generated.SuspectNews;
import java.util.List;

/**
 * Relays suspects: what entries and other sides report is attached to the status updates about this engine, which go to
 * all of them.
 */
public final class SuspectRelay {

    private final SharedSuspects suspects;

    /**
     * Creates a relay.
     *
     * @param suspects the known suspects.
     */
    public SuspectRelay(SharedSuspects suspects) {
        this.suspects = suspects;
    }

    /**
     * Records the suspects that a datagram reports, if it reports any.
     *
     * @param datagram the received datagram.
     */
    public void receive(PeerDatagram datagram) {
        if (datagram.isSetEntry()) {
            suspects.merge(datagram.getEntry().getSuspects());
            suspects.promptParts().merge(datagram.getEntry().getPromptParts());
        } else if (datagram.isSetEngine()) {
            suspects.merge(datagram.getEngine().getSuspects());
            suspects.promptParts().merge(datagram.getEngine().getPromptParts());
        }
    }

    /**
     * Attaches the known suspects to a datagram if it is an update about the engine.
     *
     * @param datagram the datagram that is about to be sent.
     */
    public void attachTo(PeerDatagram datagram) {
        if (datagram.isSetEngine()) {
            List<SuspectNews> page = suspects.nextUpdate();
            datagram.getEngine().setSuspects(page.isEmpty() ? null : page);
            List<PromptPartNews> parts = suspects.promptParts().nextUpdate();
            datagram.getEngine().setPromptParts(parts.isEmpty() ? null : parts);
        }
    }
}
