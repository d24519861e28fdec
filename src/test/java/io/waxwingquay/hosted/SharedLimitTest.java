package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.standin.prepared.ReplicaStandin.Behaviour;
import io.waxwingquay.testing.Await;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SharedLimitTest {

    private static final int REQUESTS = 30;

    /** So little that each entry's part is a small fraction of a request while the test runs. */
    private static final String LIMIT_PER_SECOND = "0.02";

    /** One for each entry, and the part of a second that a slow machine adds. */
    private static final int MOST_REQUESTS = 5;

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

    // Guards against entries that together send a replica more than it says that it takes.
    @Test
    void replicaThatNamesALimitGetsNoMoreFromAllEntriesTogether() throws Exception {
        world.plain1.behaviour((engine, caller) -> caller.respond(
                200, HttpFields.build(engine.responseFields(caller)).put("Server-Limit", LIMIT_PER_SECOND), "ok"));
        tellBothEntries();
        int before = world.plain1.startedAttemptIds().size();
        for (int number = 0; number < REQUESTS; number++) {
            assertEquals(200, world.ask("POST", "/p/1", "c1-" + number, "", "x").status());
            assertEquals(200, world.askSecond("/p/1", "c2-" + number, "x").status());
        }
        int sent = world.plain1.startedAttemptIds().size() - before;
        assertTrue(sent <= MOST_REQUESTS, "it got " + sent);
    }

    // Guards against holding callers who could come back when all replicas of their service are at their limits.
    @Test
    void requestBeyondTheLimitsOfAllReplicasIsRefusedAtOnce() throws Exception {
        Behaviour limited = (engine, caller) -> caller.respond(
                200, HttpFields.build(engine.responseFields(caller)).put("Server-Limit", LIMIT_PER_SECOND), "ok");
        world.plain1.behaviour(limited);
        world.plain2.behaviour(limited);
        Await.until(() -> world.ask("POST", "/brief/1", "c3", "", "x").status() == 503);
        assertTrue(world.ask("POST", "/brief/1", "c4", "", "x").head().contains("Retry-After: "));
    }

    private void tellBothEntries() throws Exception {
        world.store.remove("servers", "p2");
        Await.until(() -> reachesOnlyTheFirst());
        world.list(world.plain2, "p2", "plain", "ready");
        Await.until(() -> world.dump().contains("id=p2") && world.dumpSecond().contains("id=p2"));
    }

    private boolean reachesOnlyTheFirst() throws Exception {
        int before = world.plain2.startedAttemptIds().size();
        world.ask("POST", "/p/1", "c5", "", "x");
        world.askSecond("/p/1", "c6", "x");
        return before == world.plain2.startedAttemptIds().size()
                && !world.dump().contains("id=p2")
                && !world.dumpSecond().contains("id=p2");
    }
}
