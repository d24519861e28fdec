package io.waxwingquay.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class PeerTableReaderTest {

    private static final HostPort OTHER = new HostPort("10.0.0.2", 81);
    private static final HostPort SEED = new HostPort("10.0.0.3", 81);

    private final List<HostPort> peersRead = new ArrayList<>();
    private long stalenessLimitMillis = 500;
    private long ownVersion;
    private long copyVersion = 7;
    private final PeerTableReader<String> reader = new PeerTableReader<>(
            "test",
            () -> stalenessLimitMillis,
            this::tableAt,
            () -> ownVersion,
            page -> ownVersion = Math.max(ownVersion, page.version()));

    // The store delivers a newer version to all processes at about the same time. A process that is stale only briefly
    // must not read from its peers each time.
    @Test
    void briefStalenessIsLeftToStore() {
        ownVersion = 6;
        reader.recordPeerVersion(7, OTHER);
        reader.readIfStale(0);
        reader.readIfStale(400);
        ownVersion = 7;
        reader.readIfStale(600);
        reader.readIfStale(2_000);
        assertTrue(peersRead.isEmpty());
    }

    @Test
    void newerVersionIsReadFromPeer() {
        ownVersion = 6;
        reader.recordPeerVersion(7, OTHER);
        reader.readIfStale(0);
        reader.readIfStale(500);
        assertEquals(List.of(OTHER), peersRead);
        assertEquals(7, ownVersion);
        reader.readIfStale(5_000);
        assertEquals(1, peersRead.size());
    }

    // Guards against requests to replicas that left while the store rejected this entry.
    @Test
    void newerVersionIsReadAtOnceWhileStoreIsUnreachable() {
        ownVersion = 6;
        stalenessLimitMillis = 0;
        reader.recordPeerVersion(7, OTHER);
        reader.readIfStale(0);
        assertEquals(List.of(OTHER), peersRead);
    }

    @Test
    void seedsAreReadWhileNoVersionIsKnown() {
        reader.addSeeds(List.of(SEED));
        reader.readIfStale(0);
        reader.readIfStale(500);
        assertEquals(List.of(SEED), peersRead);
    }

    // The peer that announced the version is gone when it is asked. The reader waits until another peer announces it.
    @Test
    void unresponsivePeerIsForgotten() {
        ownVersion = 6;
        copyVersion = -1;
        reader.recordPeerVersion(7, OTHER);
        reader.readIfStale(0);
        reader.readIfStale(500);
        reader.readIfStale(5_000);
        assertEquals(1, peersRead.size());
        copyVersion = 7;
        reader.recordPeerVersion(7, SEED);
        reader.readIfStale(6_000);
        reader.readIfStale(6_500);
        assertEquals(List.of(OTHER, SEED), peersRead);
    }

    private WatchedTable<String> tableAt(HostPort process) {
        peersRead.add(process);
        return new WatchedTable<>() {
            @Override
            public CompletableFuture<Page<String>> readAll() {
                return copyVersion < 0
                        ? CompletableFuture.failedFuture(new StoreException("gone"))
                        : CompletableFuture.completedFuture(new Page<>(copyVersion, List.of()));
            }

            @Override
            public CompletableFuture<Page<String>> changesAfter(long version, long waitMillis) {
                return CompletableFuture.failedFuture(new StoreException("changes are not read from a peer"));
            }
        };
    }
}
