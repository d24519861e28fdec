package io.waxwingquay.membership;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.suspect.SuspectBook;
import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SuspectRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
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
 * @param bundleVersionListener told of higher bundle versions.
 * @param random the randomness.
 * @param traffic counts messages and bytes.
 * @param maxRecordBytes the most bytes of records in a message.
 */
record GossipContext(
        MemberTable table,
        Peers peers,
        SuspectBook suspects,
        LongSupplier bundleVersion,
        BundleVersionListener bundleVersionListener,
        RandomGenerator random,
        GossipTraffic traffic,
        int maxRecordBytes) {

    private static final int NEWEST_SUSPECTS = 4;
    private static final int OTHER_SUSPECTS = 4;

    void noteBundleVersion(long version, HostPort from) {
        if (version > bundleVersion.getAsLong()) {
            bundleVersionListener.onHigherVersion(version, from);
        }
    }

    /** The newest, since they matter most, and some others, so that each gets its turn. */
    List<SuspectRecord> suspectsToSend() {
        List<SuspectRecord> newestFirst = new ArrayList<>(suspects.snapshot());
        newestFirst.sort(Comparator.comparingLong(SuspectRecord::getExpiresAtEpochMillis)
                .reversed()
                .thenComparingLong(SuspectRecord::getFingerprint));
        int newest = Math.min(NEWEST_SUSPECTS, newestFirst.size());
        List<SuspectRecord> sent = new ArrayList<>(newestFirst.subList(0, newest));
        sent.addAll(sample(newestFirst.subList(newest, newestFirst.size()), OTHER_SUSPECTS));
        return sent;
    }

    /** Changes whenever a suspect comes, goes or changes. */
    int suspectsHash() {
        return new HashSet<>(suspects.snapshot()).hashCode();
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

    List<SideRecord> limitSize(List<SideRecord> records) {
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
