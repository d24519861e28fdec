package io.waxwingquay.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class ReplicaDirectoryTest {

    private static final ReplicaRecord READY = record("r1", false);
    private static final ReplicaRecord DRAINING = record("r1", true);

    private final List<String> removed = new ArrayList<>();
    private final List<String> unlisted = new ArrayList<>();
    private long nowMillis = 1_000;
    private final ReplicaDirectory directory = new ReplicaDirectory(() -> nowMillis, new ReplicaDirectory.Listener() {
        @Override
        public void onListed(ReplicaRecord record, Optional<ReplicaRecord> before) {
            unlisted.remove(record.id());
        }

        @Override
        public void onUnlisted(ReplicaRecord record) {
            unlisted.add(record.id());
        }

        @Override
        public void onRemoved(ReplicaRecord record) {
            removed.add(record.id());
        }
    });

    @Test
    void removedRowRemovesReplicaAtOnceWhileStoreIsReachable() {
        directory.onSnapshot(page(row("r1"), row("r2")));
        directory.onChanges(page(removedRow("r1")));
        assertEquals(List.of("r1"), removed);
    }

    // Rows expire while the store is unreachable. If each missing row were a departure, requests would be rejected
    // everywhere, so rows missing at its recovery get two seconds to reappear before their replicas are removed.
    @Test
    void rowsExpiredInOutageMayReappear() {
        directory.onSnapshot(page(row("r1"), row("r2")));
        directory.onReachabilityChanged(false);
        nowMillis += 10_000;
        directory.onReachabilityChanged(true);
        directory.onSnapshot(page());
        assertTrue(removed.isEmpty());
        nowMillis += 1_900;
        directory.onChanges(page(row("r2")));
        directory.removeExpired();
        assertTrue(removed.isEmpty());
        nowMillis += 500;
        directory.removeExpired();
        assertEquals(List.of("r1"), removed);
    }

    @Test
    void rowsUnlistedAfterLostHistoryMayReappear() {
        directory.onSnapshot(page(row("r1")));
        directory.onHistoryLost();
        directory.onSnapshot(page());
        assertTrue(removed.isEmpty());
        nowMillis += ReplicaDirectory.UNLISTED_GRACE_MILLIS;
        directory.removeExpired();
        assertEquals(List.of("r1"), removed);
    }

    // Guards against use of a replica that left while the store was recovering, for as long as its row may reappear.
    @Test
    void unlistedRowAndItsReturnAreReportedAtOnce() {
        directory.onSnapshot(page(row("r1"), row("r2")));
        directory.onReachabilityChanged(false);
        directory.onReachabilityChanged(true);
        directory.onChanges(page(removedRow("r1")));
        assertEquals(List.of("r1"), unlisted);
        directory.onChanges(page(row("r1")));
        assertTrue(unlisted.isEmpty());
        assertTrue(removed.isEmpty());
    }

    @Test
    void nothingIsRemovedWhileStoreIsUnreachable() {
        directory.onSnapshot(page(row("r1")));
        directory.onReachabilityChanged(false);
        directory.onChanges(page(removedRow("r1")));
        nowMillis += 60_000;
        directory.removeExpired();
        assertTrue(removed.isEmpty());
    }

    // Guards against requests to a replica that has said that it leaves, while its row in a store that was restored
    // from
    // an older copy calls it ready.
    @Test
    void leavingReplicaIsNotCalledReadyByAnOlderRow() {
        directory.onSnapshot(page(row(DRAINING, 5)));
        directory.onHistoryLost();
        directory.onSnapshot(page(row(READY, 3)));
        assertEquals(List.of(DRAINING), List.copyOf(directory.replicas()));
        directory.onChanges(page(row(reborn(2), 4)));
        assertEquals(List.of(reborn(2)), List.copyOf(directory.replicas()));
    }

    // Guards against requests to a replica that is gone, while the restored store still lists it.
    @Test
    void goneReplicaIsListedAgainOnlyByANewerRow() {
        directory.onSnapshot(page(row(READY, 5)));
        directory.onChanges(page(removedRow("r1")));
        assertEquals(List.of("r1"), removed);
        directory.onHistoryLost();
        directory.onSnapshot(page(row(READY, 5)));
        assertTrue(directory.replicas().isEmpty());
        directory.onChanges(page(row(READY, 7)));
        assertEquals(List.of(READY), List.copyOf(directory.replicas()));
    }

    // Guards against an incarnation that is replaced by its predecessor, whose row the restored store lists.
    @Test
    void earlierIncarnationDoesNotReplaceALaterOne() {
        ReplicaRecord later = reborn(9);
        directory.onSnapshot(page(row(READY, 3)));
        directory.onChanges(page(row(later, 6)));
        directory.onHistoryLost();
        directory.onSnapshot(page(row(READY, 3)));
        assertEquals(List.of(later), List.copyOf(directory.replicas()));
        assertTrue(unlisted.isEmpty());
    }

    @SafeVarargs
    private static WatchedTable.Page<ReplicaRecord> page(WatchedTable.Row<ReplicaRecord>... rows) {
        return new WatchedTable.Page<>(new StoreVersion(1, 1), List.of(rows));
    }

    private static WatchedTable.Row<ReplicaRecord> row(String id) {
        return row(record(id, false), 1);
    }

    private static WatchedTable.Row<ReplicaRecord> row(ReplicaRecord record, long number) {
        return new WatchedTable.Row<>(record.id(), Optional.of(record), number);
    }

    private static ReplicaRecord record(String id, boolean draining) {
        return new ReplicaRecord(
                id, 1, "s", "v1", new HostPort("10.0.0.1", 80), "z", 4, draining, OptionalLong.empty(), List.of());
    }

    /** Returns the record of a later incarnation of the replica, under the same id. */
    private static ReplicaRecord reborn(long bornMillis) {
        return new ReplicaRecord(
                READY.id(), bornMillis, "s", "v1", READY.address(), "z", 4, false, OptionalLong.empty(), List.of());
    }

    private static WatchedTable.Row<ReplicaRecord> removedRow(String id) {
        return new WatchedTable.Row<>(id, Optional.empty(), 1);
    }
}
