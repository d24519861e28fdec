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

    // The store gives each process the newer version at about the same time. One that is behind for a moment only must
    // not ask the others each time.
    @Test
    void shortLagIsLeftToTheStore() {
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
    void newerVersionIsReadWhereItIs() {
        ownVersion = 6;
        reader.recordPeerVersion(7, OTHER);
        reader.readIfStale(0);
        reader.readIfStale(500);
        assertEquals(List.of(OTHER), peersRead);
        assertEquals(7, ownVersion);
        reader.readIfStale(5_000);
        assertEquals(1, peersRead.size());
    }

    // Guards against requests to replicas that left while the store turned this entry away.
    @Test
    void newerVersionIsReadAtOnceWhileTheStoreIsLost() {
        ownVersion = 6;
        stalenessLimitMillis = 0;
        reader.recordPeerVersion(7, OTHER);
        reader.readIfStale(0);
        assertEquals(List.of(OTHER), peersRead);
    }

    @Test
    void seedsAreAskedWhileNothingIsKnown() {
        reader.addSeeds(List.of(SEED));
        reader.readIfStale(0);
        reader.readIfStale(500);
        assertEquals(List.of(SEED), peersRead);
    }

    // The process that told is gone by the time it is asked. The reader waits until another one tells.
    @Test
    void processThatDoesNotAnswerIsForgotten() {
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
                return CompletableFuture.failedFuture(new StoreException("a copy is not followed"));
            }
        };
    }
}
