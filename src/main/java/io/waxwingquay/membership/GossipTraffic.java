package io.waxwingquay.membership;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.waxwingquay.transport.generated.GossipAnswer;
import io.waxwingquay.transport.generated.GossipRequest;

/** Counts the messages and bytes of gossip in Thrift's compact protocol, without the headers of frames and TCP. */
final class GossipTraffic {

    private static final String BYTES = "waxwingquay.gossip.bytes";
    private static final String MESSAGES = "waxwingquay.gossip.messages";

    private final Kind dissemination;
    private final Kind comparison;

    GossipTraffic(MeterRegistry registry) {
        this.dissemination = Kind.of(registry, "news");
        this.comparison = Kind.of(registry, "comparison");
    }

    void countInitiated(GossipRequest request, GossipAnswer answer) {
        kindOf(request).count(Records.sizeBytes(request), Records.sizeBytes(answer));
    }

    void countAnswered(GossipRequest request, GossipAnswer answer) {
        kindOf(request).count(Records.sizeBytes(answer), Records.sizeBytes(request));
    }

    private Kind kindOf(GossipRequest request) {
        return request.getBucketHashesSize() == BucketHashes.BUCKETS ? comparison : dissemination;
    }

    private record Kind(Counter sentBytes, Counter receivedBytes, Counter messages) {

        static Kind of(MeterRegistry registry, String kind) {
            return new Kind(
                    registry.counter(BYTES, "kind", kind, "direction", "sent"),
                    registry.counter(BYTES, "kind", kind, "direction", "received"),
                    registry.counter(MESSAGES, "kind", kind));
        }

        void count(int sent, int received) {
            sentBytes.increment(sent);
            receivedBytes.increment(received);
            messages.increment(2);
        }
    }
}
