package io.waxwingquay.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class CopyReaderTest {

    private static final HostPort OTHER = new HostPort("10.0.0.2", 81);
    private static final HostPort SEED = new HostPort("10.0.0.3", 81);

    private final List<HostPort> asked = new ArrayList<>();
    private long patienceMillis = 500;
    private long ownVersion;
    private long copyVersion = 7;
    private final CopyReader<String> reader = new CopyReader<>(
            "test",
            () -> patienceMillis,
            this::tableAt,
            () -> ownVersion,
            page -> ownVersion = Math.max(ownVersion, page.version()));

    // The store gives each process the newer version at about the same time. One that is behind for a moment only must
    // not ask the others each time.
    @Test
    void shortLagIsLeftToTheStore() {
        ownVersion = 6;
        reader.told(7, OTHER);
        reader.look(0);
        reader.look(400);
        ownVersion = 7;
        reader.look(600);
        reader.look(2_000);
        assertTrue(asked.isEmpty());
    }

    @Test
    void newerVersionIsReadWhereItIs() {
        ownVersion = 6;
        reader.told(7, OTHER);
        reader.look(0);
        reader.look(500);
        assertEquals(List.of(OTHER), asked);
        assertEquals(7, ownVersion);
        reader.look(5_000);
        assertEquals(1, asked.size());
    }

    // Guards against requests to replicas that left while the store turned this entry away.
    @Test
    void newerVersionIsReadAtOnceWhileTheStoreIsLost() {
        ownVersion = 6;
        patienceMillis = 0;
        reader.told(7, OTHER);
        reader.look(0);
        assertEquals(List.of(OTHER), asked);
    }

    @Test
    void seedsAreAskedWhileNothingIsKnown() {
        reader.seeds(List.of(SEED));
        reader.look(0);
        reader.look(500);
        assertEquals(List.of(SEED), asked);
    }

    // The process that told is gone by the time it is asked. The reader waits until another one tells.
    @Test
    void processThatDoesNotAnswerIsForgotten() {
        ownVersion = 6;
        copyVersion = -1;
        reader.told(7, OTHER);
        reader.look(0);
        reader.look(500);
        reader.look(5_000);
        assertEquals(1, asked.size());
        copyVersion = 7;
        reader.told(7, SEED);
        reader.look(6_000);
        reader.look(6_500);
        assertEquals(List.of(OTHER, SEED), asked);
    }

    private WatchedTable<String> tableAt(HostPort process) {
        asked.add(process);
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
