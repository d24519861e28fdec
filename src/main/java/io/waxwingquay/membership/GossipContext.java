package io.waxwingquay.membership;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.suspect.SuspectRegistry;
import io.waxwingquay.transport.generated.SideRecord;
import io.waxwingquay.transport.generated.SuspectRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * The collaborators shared by the requesting and the answering end of gossip.
 *
 * @param table the side records.
 * @param peers the peers to gossip with.
 * @param suspects the suspects.
 * @param bundleVersion supplies the bundle version in force in this process.
 * @param bundleVersionListener notified of higher bundle versions.
 * @param random the source of randomness; used under its own lock.
 * @param traffic counts messages and bytes.
 * @param maxRecordBytes the maximum size of the records in a message.
 */
record GossipContext(
        MemberTable table,
        Peers peers,
        SuspectRegistry suspects,
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

    /** Selects the newest suspects, which matter most, and a random sample of the others, so that all take turns. */
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

    /** Hashes the suspects in any order; the hash changes when a suspect is added, removed or changed. */
    int suspectsHash() {
        return new HashSet<>(suspects.snapshot()).hashCode();
    }

    /** Returns a random sample of at most the given number of elements. */
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

    /** Returns the leading records within the size limit, but at least one so that a large record is sent too. */
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
