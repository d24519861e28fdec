package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.PeerDatagram;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class EngineUpdatesTest {

    private static final HostPort ADDRESS = new HostPort("10.0.0.9", 80);
    private static final EngineReport REPORT =
            new EngineReport(7, 0, false, 0, 0, 0, 0, List.of(), Set.of(), Set.of(), Set.of(), false, List.of());

    private final List<EngineNews> sent = new ArrayList<>();
    private boolean grantsSlots;
    private final EngineUpdates updates = new EngineUpdates(
            ADDRESS,
            "engines",
            new PeerUpdates("engines"),
            new ModelMover(),
            new WeightLoadLimiter(5_000, 1.1),
            () -> grantsSlots,
            new Recorder());

    // Guards against updates of engines that grant no slots that differ from those without the field, and against a
    // change
    // that waits for the periodic update.
    @Test
    void namesGrantingOnlyWhileItIsInForceAndSendsAChangeAtOnce() {
        updates.sendDue(REPORT, Optional.empty(), 0);
        assertFalse(sent.get(0).isSetGrantsSlots());
        updates.sendDue(REPORT, Optional.empty(), UpdateSchedule.RESEND_MILLIS);
        grantsSlots = true;
        updates.sendDue(REPORT, Optional.empty(), UpdateSchedule.RESEND_MILLIS + 1);
        assertEquals(3, sent.size());
        assertTrue(sent.get(2).isGrantsSlots());
    }

    private final class Recorder implements EngineManager.Sender {

        @Override
        public void send(HostPort target, PeerDatagram datagram) {}

        @Override
        public void send(Set<HostPort> targets, PeerDatagram datagram) {
            if (datagram.isSetEngine()) {
                sent.add(datagram.getEngine());
            }
        }

        @Override
        public HostPort sideAddress(HostPort engine) {
            return engine;
        }
    }
}
