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

    @SafeVarargs
    private static WatchedTable.Page<ReplicaRecord> page(WatchedTable.Row<ReplicaRecord>... rows) {
        return new WatchedTable.Page<>(new StoreVersion(1, 1), List.of(rows));
    }

    private static WatchedTable.Row<ReplicaRecord> row(String id) {
        ReplicaRecord record = new ReplicaRecord(
                id, 1, "s", new HostPort("10.0.0.1", 80), "z", 4, false, OptionalLong.empty(), List.of());
        return new WatchedTable.Row<>(id, Optional.of(record));
    }

    private static WatchedTable.Row<ReplicaRecord> removedRow(String id) {
        return new WatchedTable.Row<>(id, Optional.empty());
    }
}
