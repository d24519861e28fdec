package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.platform.HeaderCodec;
import io.waxwingquay.transport.generated.EngineNews;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ForwarderTest {

    private static final HostPort FIRST_ENGINE = new HostPort("127.0.0.1", 1);
    private static final HostPort SECOND_ENGINE = new HostPort("127.0.0.2", 1);
    private static final double RETRY_BURST = ForwarderFixture.RETRY_BURST;

    private final EventLoop loop = EventLoop.start("test");

    @AfterEach
    void stop() {
        loop.close();
    }

    // A side process starts again and has heard one entry. Guards against entries that all take the share of a sole
    // entry of the retry budget and of what replicas accept, as soon as they hear it.
    @Test
    void sideThatHasJustStartedDoesNotChangeTheSharesOfEntries() {
        Forwarder forwarder = forwarder();
        forwarder.engineUpdate(update(FIRST_ENGINE, 33));
        forwarder.engineUpdate(update(SECOND_ENGINE, 1));
        assertEquals(33, forwarder.entryCount());
    }

    // All entries start again at once, and each hears a side process that knows no other entry yet. Guards against a
    // full burst of retries from each of them when engines fail then.
    @Test
    void entriesThatHaveJustStartedTogetherStayWithinTheRetryBurst() {
        double retries = IntStream.range(0, 33)
                .mapToObj(number -> forwarder())
                .peek(forwarder -> forwarder.engineUpdate(update(FIRST_ENGINE, 1)))
                .mapToDouble(forwarder -> forwarder.budget("s").availableRetries())
                .sum();
        assertEquals(0.0, Math.max(0, retries - RETRY_BURST));
    }

    private Forwarder forwarder() {
        Forwarder forwarder = ForwarderFixture.forwarder(loop, new HeaderCodec(), new Random(5));
        forwarder.replicaListener().onListed(replica("a", FIRST_ENGINE), Optional.empty());
        forwarder.replicaListener().onListed(replica("b", SECOND_ENGINE), Optional.empty());
        return forwarder;
    }

    private static ReplicaRecord replica(String id, HostPort address) {
        return new ReplicaRecord(id, 1, "s", "v1", address, "z", 10, false, OptionalLong.empty(), List.of());
    }

    private static EngineNews update(HostPort engine, int entries) {
        return new EngineNews()
                .setEngineAddress(engine.toString())
                .setServiceName("s")
                .setBornMillis(1)
                .setNumber(1)
                .setModels(List.of())
                .setEntries(entries);
    }
}
