package io.waxwingquay.membership;

import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SideState;
import java.util.Optional;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/** Joining and measuring of records. */
final class Records {

    private Records() {}

    /**
     * Joins what is known with what arrived.
     *
     * @return the new record, or empty if nothing changes.
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

    // LEAVING sticks to the epoch: an older list or rumour that says SERVING must not send new work to a side that
    // drains. GONE sticks to its version: a higher one can only come from the side itself.
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

    /** Bytes of a message as Thrift's compact protocol writes it. */
    static int sizeBytes(TBase<?, ?> message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message).length;
        } catch (TException failure) {
            throw new IllegalStateException("message cannot be written by Thrift", failure);
        }
    }
}
