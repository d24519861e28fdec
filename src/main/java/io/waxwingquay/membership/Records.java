package io.waxwingquay.membership;

import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SideState;
import java.util.Optional;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/** Merges side records and measures the size of messages. */
final class Records {

    private Records() {}

    /**
     * Merges a known record with a received one.
     *
     * @return the merged record, or empty if the known record does not change.
     */
    static Optional<SideRecord> join(SideRecord known, SideRecord incoming) {
        if (incoming.getEpoch() != known.getEpoch()) {
            return Optional.of(incoming)
                    .filter(record -> record.getEpoch() > known.getEpoch())
                    .map(SideRecord::deepCopy);
        }
        SideRecord newer = incoming.getVersion() > known.getVersion() ? incoming : known;
        SideState state = stateOf(known, incoming);
        boolean isChanged = newer != known || state != known.getState();
        return isChanged ? Optional.of(newer.deepCopy().setState(state)) : Optional.empty();
    }

    // LEAVING is sticky within an epoch: a stale list or rumour that says SERVING must not route new work to a draining
    // side. GONE is sticky within a version: only the side itself can publish a higher one.
    private static SideState stateOf(SideRecord known, SideRecord incoming) {
        if (known.getVersion() == incoming.getVersion()) {
            return later(known.getState(), incoming.getState());
        }
        SideRecord newer = incoming.getVersion() > known.getVersion() ? incoming : known;
        SideRecord older = newer == known ? incoming : known;
        return older.getState() == SideState.LEAVING ? later(SideState.LEAVING, newer.getState()) : newer.getState();
    }

    private static SideState later(SideState left, SideState right) {
        return left.getValue() >= right.getValue() ? left : right;
    }

    /** Returns the size of a message in Thrift's compact protocol. */
    static int sizeBytes(TBase<?, ?> message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message).length;
        } catch (TException failure) {
            throw new IllegalStateException("cannot serialise a Thrift message", failure);
        }
    }
}
