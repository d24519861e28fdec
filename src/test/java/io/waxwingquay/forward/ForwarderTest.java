package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.waxwingquay.account.QuotaTolerance;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.platform.HeaderCodec;
import io.waxwingquay.suspect.SharedSuspects;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.OriginQuestion;
import io.waxwingquay.transport.generated.OriginReport;
import io.waxwingquay.transport.generated.SlotRequest;
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
    private static final double RETRY_BURST = 100;

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
        Forwarder forwarder = new Forwarder(
                loop,
                new ForwardSettings("z", 0.2, RETRY_BURST, 8, QuotaTolerance.NONE),
                new HeaderCodec(),
                new UncountedMetrics(),
                new SilentNotifier(),
                new SuspectTracker(new SharedSuspects(() -> 0, new Random(3)), () -> 0, () -> {}),
                new Random(5));
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

    private static final class UncountedMetrics implements ForwardMetrics {

        @Override
        public void ended(int status, long tookMillis) {
            // not counted here
        }

        @Override
        public void unrouted() {
            // not counted here
        }

        @Override
        public void unauthorized() {
            // not counted here
        }

        @Override
        public void overQuota() {
            // not counted here
        }
    }

    private static final class SilentNotifier implements EngineNotifier {

        @Override
        public void requestAdapter(HostPort engine, long id, String model, String adapter) {
            throw new IllegalStateException("no adapter is requested here");
        }

        @Override
        public void requestSlot(HostPort engine, SlotRequest request) {
            throw new IllegalStateException("no slot is requested here");
        }

        @Override
        public void cancelSlot(HostPort engine, long id) {
            throw new IllegalStateException("no slot is cancelled here");
        }

        @Override
        public void report(HostPort process, OriginReport report) {
            throw new IllegalStateException("no stream starts here");
        }

        @Override
        public void ask(HostPort process, OriginQuestion question) {
            throw new IllegalStateException("no stream is resumed here");
        }

        @Override
        public void spendingReportDue() {
            // nobody to notify
        }

        @Override
        public void demandChanged() {
            // nobody to notify
        }
    }
}
