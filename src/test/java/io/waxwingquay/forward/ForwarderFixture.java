package io.waxwingquay.forward;

import io.waxwingquay.account.QuotaTolerance;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.suspect.SharedSuspects;
import io.waxwingquay.transport.generated.OriginQuestion;
import io.waxwingquay.transport.generated.OriginReport;
import io.waxwingquay.transport.generated.SlotRequest;
import java.util.Random;
import java.util.random.RandomGenerator;

/** Creates forwarders that send nothing and count nothing. */
final class ForwarderFixture {

    static final int ASSUMED_ENTRY_COUNT = 8;
    static final double RETRY_BURST = 100;

    private ForwarderFixture() {}

    static Forwarder forwarder(EventLoop loop, MessageCodec codec, RandomGenerator random) {
        return new Forwarder(
                loop,
                new ForwardSettings("z", 0.2, RETRY_BURST, ASSUMED_ENTRY_COUNT, QuotaTolerance.NONE),
                codec,
                new UncountedMetrics(),
                new SilentNotifier(),
                new SuspectTracker(new SharedSuspects(() -> 0, new Random(3)), () -> 0, () -> {}),
                random);
    }

    /** Returns metrics that count nothing. */
    static ForwardMetrics uncounted() {
        return new UncountedMetrics();
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

        @Override
        public void silentReplica() {
            // not counted here
        }

        @Override
        public void returnedToSilentReplica() {
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
