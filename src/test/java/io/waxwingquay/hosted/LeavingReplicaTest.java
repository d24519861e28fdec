package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.waxwingquay.testing.Await;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LeavingReplicaTest {

    private static final int REQUESTS = 20;

    private HostedWorld world;

    @BeforeEach
    void start() throws Exception {
        world = new HostedWorld();
        world.startSecondEntry();
    }

    @AfterEach
    void stop() {
        world.close();
    }

    // Guards against requests to a replica that left without notice while entries regained the store.
    @Test
    void replicaThatLeavesAsTheStoreIsRegainedGetsNothingFromAnyEntry() throws Exception {
        world.store.unavailable(true);
        world.store.remove("servers", "p1");
        world.store.unavailable(false);
        Await.until(() -> dumps().allMatch(LeavingReplicaTest::isKnownToBeDropped));
        int before = world.plain1.startedAttemptIds().size();
        for (int number = 0; number < REQUESTS; number++) {
            assertEquals(200, world.ask("POST", "/p/1", "b1-" + number, "", "x").status());
            assertEquals(200, world.askSecond("/p/1", "b2-" + number, "x").status());
        }
        assertEquals(before, world.plain1.startedAttemptIds().size());
    }

    private static boolean isKnownToBeDropped(String dump) {
        return dump.contains("missing=[p1]") || !dump.contains("id=p1");
    }

    private Stream<String> dumps() throws Exception {
        return Stream.of(world.dump(), world.dumpSecond());
    }
}
