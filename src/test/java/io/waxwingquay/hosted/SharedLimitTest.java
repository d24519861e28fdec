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

    /** Low enough that each entry's share stays a small fraction of a request during the test. */
    private static final String LIMIT_PER_SECOND = "0.02";

    /** One request per entry, and what the limit adds on a slow machine. */
    private static final int MAX_REQUESTS = 5;

    private HostedDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = new HostedDeployment();
        deployment.startSecondEntry();
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    // Guards against entries that together exceed the limit which a replica announces.
    @Test
    void entriesTogetherKeepTheLimitThatAReplicaAnnounces() throws Exception {
        deployment.plain1.behaviour((engine, caller) -> caller.respond(
                200, HttpFields.build(engine.responseFields(caller)).put("Server-Limit", LIMIT_PER_SECOND), "ok"));
        announceLimitToBothEntries();
        int before = deployment.plain1.startedAttemptIds().size();
        for (int number = 0; number < REQUESTS; number++) {
            assertEquals(
                    200, deployment.ask("POST", "/p/1", "c1-" + number, "", "x").status());
            assertEquals(200, deployment.askSecond("/p/1", "c2-" + number, "x").status());
        }
        int sent = deployment.plain1.startedAttemptIds().size() - before;
        assertTrue(sent <= MAX_REQUESTS, "requests sent to the limited replica: " + sent);
    }

    // Guards against queueing requests whose callers could retry later while all replicas of the service are at their
    // limits.
    @Test
    void requestBeyondTheLimitsOfAllReplicasIsRejectedAtOnce() throws Exception {
        Behaviour limited = (engine, caller) -> caller.respond(
                200, HttpFields.build(engine.responseFields(caller)).put("Server-Limit", LIMIT_PER_SECOND), "ok");
        deployment.plain1.behaviour(limited);
        deployment.plain2.behaviour(limited);
        Await.until(() -> deployment.ask("POST", "/brief/1", "c3", "", "x").status() == 503);
        assertTrue(deployment.ask("POST", "/brief/1", "c4", "", "x").head().contains("Retry-After: "));
    }

    private void announceLimitToBothEntries() throws Exception {
        deployment.store.remove("servers", "p2");
        Await.until(() -> reachesOnlyFirstReplica());
        deployment.register(deployment.plain2, "p2", "plain", "ready");
        Await.until(() ->
                deployment.dump().contains("id=p2") && deployment.dumpSecond().contains("id=p2"));
    }

    private boolean reachesOnlyFirstReplica() throws Exception {
        int before = deployment.plain2.startedAttemptIds().size();
        deployment.ask("POST", "/p/1", "c5", "", "x");
        deployment.askSecond("/p/1", "c6", "x");
        return before == deployment.plain2.startedAttemptIds().size()
                && !deployment.dump().contains("id=p2")
                && !deployment.dumpSecond().contains("id=p2");
    }
}
