package io.waxwingquay.membership;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.suspect.SuspectBook;
import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SuspectRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * What both ends of gossip share.
 *
 * @param table the side records.
 * @param peers whom to ask.
 * @param suspects the suspects.
 * @param bundleVersion the bundle version that this process has.
 * @param news told of higher bundle versions.
 * @param random the randomness.
 * @param traffic counts messages and bytes.
 * @param maxRecordBytes the most bytes of records in a message.
 */
record GossipParts(
        MemberTable table,
        Peers peers,
        SuspectBook suspects,
        LongSupplier bundleVersion,
        BundleNews news,
        RandomGenerator random,
        GossipTraffic traffic,
        int maxRecordBytes) {

    private static final int MAX_SUSPECTS = 8;

    void noteBundleVersion(long version, HostPort from) {
        if (version > bundleVersion.getAsLong()) {
            news.higherVersion(version, from);
        }
    }

    List<SuspectRecord> suspectsToSend() {
        return sample(suspects.snapshot(), MAX_SUSPECTS);
    }

    <T> List<T> sample(List<T> from, int count) {
        List<T> rest = new ArrayList<>(from);
        while (rest.size() > count) {
            int index;
            synchronized (random) {
                index = random.nextInt(rest.size());
            }
            rest.set(index, rest.get(rest.size() - 1));
            rest.remove(rest.size() - 1);
        }
        return rest;
    }

    List<SideRecord> bounded(List<SideRecord> records) {
        List<SideRecord> kept = new ArrayList<>();
        int sizeBytes = 0;
        for (SideRecord record : records) {
            sizeBytes += Records.sizeBytes(record);
            if (!kept.isEmpty() && sizeBytes > maxRecordBytes) {
                return kept;
            }
            kept.add(record);
        }
        return kept;
    }
}
