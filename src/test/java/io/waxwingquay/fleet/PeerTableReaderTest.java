package io.waxwingquay.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class PeerTableReaderTest {

    private static final HostPort OTHER = new HostPort("10.0.0.2", 81);
    private static final HostPort SEED = new HostPort("10.0.0.3", 81);

    private final List<HostPort> peersRead = new ArrayList<>();
    private long stalenessLimitMillis = 500;
    private StoreVersion ownVersion = StoreVersion.NONE;
    private Optional<StoreVersion> copyVersion = Optional.of(version(7));
    private final PeerTableReader<String, StoreVersion> reader = new PeerTableReader<>(
            "test",
            () -> stalenessLimitMillis,
            this::tableAt,
            StoreVersion.NONE,
            () -> ownVersion,
            page -> ownVersion = page.version().isNewerThan(ownVersion) ? page.version() : ownVersion);

    // The store delivers a newer version to all processes at about the same time. A process that is stale only briefly
    // must not read from its peers each time.
    @Test
    void briefStalenessIsLeftToStore() {
        ownVersion = version(6);
        reader.recordPeerVersion(version(7), OTHER);
        reader.readIfStale(0);
        reader.readIfStale(400);
        ownVersion = version(7);
        reader.readIfStale(600);
        reader.readIfStale(2_000);
        assertTrue(peersRead.isEmpty());
    }

    @Test
    void newerVersionIsReadFromPeer() {
        ownVersion = version(6);
        reader.recordPeerVersion(version(7), OTHER);
        reader.readIfStale(0);
        reader.readIfStale(500);
        assertEquals(List.of(OTHER), peersRead);
        assertEquals(version(7), ownVersion);
        reader.readIfStale(5_000);
        assertEquals(1, peersRead.size());
    }

    // Guards against requests to replicas that left while the store rejected this entry.
    @Test
    void newerVersionIsReadAtOnceWhileStoreIsUnreachable() {
        ownVersion = version(6);
        stalenessLimitMillis = 0;
        reader.recordPeerVersion(version(7), OTHER);
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
        ownVersion = version(6);
        copyVersion = Optional.empty();
        reader.recordPeerVersion(version(7), OTHER);
        reader.readIfStale(0);
        reader.readIfStale(500);
        reader.readIfStale(5_000);
        assertEquals(1, peersRead.size());
        copyVersion = Optional.of(version(7));
        reader.recordPeerVersion(version(7), SEED);
        reader.readIfStale(6_000);
        reader.readIfStale(6_500);
        assertEquals(List.of(OTHER, SEED), peersRead);
    }

    // Guards against a process that the store turns away and that waits for its old versions to be passed, although its
    // peers have read the restored store, whose numbers are lower.
    @Test
    void versionOfALaterTimelineIsReadThoughItsNumberIsLower() {
        ownVersion = version(6);
        StoreVersion restored = new StoreVersion(2, 3);
        copyVersion = Optional.of(restored);
        reader.recordPeerVersion(restored, OTHER);
        reader.recordPeerVersion(version(8), SEED);
        reader.readIfStale(0);
        reader.readIfStale(500);
        assertEquals(List.of(OTHER), peersRead);
        assertEquals(restored, ownVersion);
    }

    private static StoreVersion version(long number) {
        return new StoreVersion(1, number);
    }

    private WatchedTable<String> tableAt(HostPort process) {
        peersRead.add(process);
        return new WatchedTable<>() {
            @Override
            public CompletableFuture<Page<String>> readAll() {
                return copyVersion
                        .map(version -> CompletableFuture.completedFuture(new Page<String>(version, List.of())))
                        .orElseGet(() -> CompletableFuture.failedFuture(new StoreException("gone")));
            }

            @Override
            public CompletableFuture<Page<String>> changesAfter(StoreVersion version, long waitMillis) {
                return CompletableFuture.failedFuture(new StoreException("changes are not read from a peer"));
            }
        };
    }
}
