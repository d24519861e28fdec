package io.waxwingquay.hosted;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.peer.PeerChannel;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.HeldModel;
import io.waxwingquay.transport.generated.PeerDatagram;
import io.waxwingquay.transport.generated.SlotReply;
import io.waxwingquay.transport.generated.SlotRequest;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;

/** A stand-in of the process beside an engine, which grants slots as a test decides. */
final class GrantingSide implements AutoCloseable {

    private static final long UPDATE_MILLIS = 50;

    final List<SlotRequest> requests = new CopyOnWriteArrayList<>();
    final List<Long> cancelledIds = new CopyOnWriteArrayList<>();
    private final EventLoop loop = EventLoop.start("granting side");
    private final Function<SlotRequest, Optional<SlotReply>> decisions;
    private long number;

    /**
     * Starts a side.
     *
     * @param address the address of its datagrams.
     * @param entry the entry that it updates.
     * @param engine its engine.
     * @param decisions replies to requests for slots, if at all.
     */
    GrantingSide(
            HostPort address, HostPort entry, HostPort engine, Function<SlotRequest, Optional<SlotReply>> decisions) {
        this.decisions = decisions;
        loop.execute(() -> start(address, entry, engine));
    }

    private void start(HostPort address, HostPort entry, HostPort engine) {
        PeerChannel[] channel = new PeerChannel[1];
        channel[0] = new PeerChannel(loop, address, (sender, datagram) -> receive(channel[0], sender, datagram));
        loop.every(UPDATE_MILLIS, () -> channel[0].send(entry, PeerDatagram.engine(update(engine))));
    }

    private void receive(PeerChannel channel, HostPort sender, PeerDatagram datagram) {
        if (datagram.isSetSlotRequest()) {
            requests.add(datagram.getSlotRequest());
            decisions
                    .apply(datagram.getSlotRequest())
                    .ifPresent(reply -> channel.send(sender, PeerDatagram.slotReply(reply)));
        } else if (datagram.isSetSlotCancel()) {
            cancelledIds.add(datagram.getSlotCancel().getId());
        }
    }

    private EngineNews update(HostPort engine) {
        return new EngineNews()
                .setEngineAddress(engine.toString())
                .setServiceName("engines")
                .setNumber(++number)
                .setNearModels(List.of())
                .setEntries(1)
                .setGrantsSlots(true)
                .setModels(List.of(new HeldModel("m", List.of())));
    }

    @Override
    public void close() {
        loop.close();
    }
}
