package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.testing.Await;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LeavingReplicaTest {

    private static final int REQUESTS = 20;
    private static final String MODEL = "Model: m\r\nToken-Counts: 10,10\r\n";

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

    // Guards against requests to a replica that departed without notice while entries regained the store.
    @Test
    void replicaUnlistedWhenTheStoreReturnsGetsNoRequests() throws Exception {
        deployment.store.unavailable(true);
        deployment.store.remove("servers", "p1");
        deployment.store.unavailable(false);
        Await.until(() -> dumps().allMatch(LeavingReplicaTest::isUnlisted));
        int before = deployment.plain1.startedAttemptIds().size();
        for (int number = 0; number < REQUESTS; number++) {
            assertEquals(
                    200, deployment.ask("POST", "/p/1", "b1-" + number, "", "x").status());
            assertEquals(200, deployment.askSecond("/p/1", "b2-" + number, "x").status());
        }
        assertEquals(before, deployment.plain1.startedAttemptIds().size());
    }

    // Guards against requests to a replica that says in its answers that it leaves, while its row is listed as ready,
    // also after the row has been dropped and listed again.
    @Test
    void replicaThatSaysItLeavesGetsNoMoreRequests() throws Exception {
        deployment.plain1.behaviour((replica, caller) -> caller.respond(
                200, HttpFields.build(replica.responseFields(caller)).put("Server-Leaving", "1"), "ok"));
        deployment.unlist("p2");
        assertTrue(saysItLeaves("/p/1", ""));
        deployment.list(deployment.plain2, "p2", "plain");
        deployment.assertNoneReach(deployment.plain1, "/p/1", "", 200);
        deployment.unlist("p1");
        deployment.list(deployment.plain1, "p1", "plain");
        deployment.unlist("p2");
        deployment.assertNoneReach(deployment.plain1, "/p/1", "", 503);
    }

    // Guards against requests to an engine that says at the head of a stream that it leaves, while its side process
    // still calls it ready.
    @Test
    void engineThatSaysItLeavesGetsNoMoreRequestsThoughGossipCallsItReady() throws Exception {
        deployment.engine1.behaviour((replica, caller) -> {
            caller.begin(
                    200,
                    HttpFields.build(replica.responseFields(caller))
                            .put("Content-Type", "text/event-stream")
                            .put("Server-Leaving", "1"));
            caller.write(ByteBuffer.wrap("id: 1\ndata: event 1\n\n".getBytes(StandardCharsets.UTF_8)));
            caller.finish();
        });
        deployment.unlist("e2");
        assertTrue(saysItLeaves("/quick/1", MODEL));
        deployment.list(deployment.engine2, "e2", "engines");
        deployment.assertNoneReach(deployment.engine1, "/quick/1", MODEL, 200);
        deployment.unlist("e2");
        deployment.assertNoneReach(deployment.engine1, "/quick/1", MODEL, 503);
    }

    private boolean saysItLeaves(String path, String fields) throws Exception {
        return deployment.ask("POST", path, "c", fields, "x").head().contains("Server-Leaving: 1");
    }

    private static boolean isUnlisted(String dump) {
        return dump.contains("missing=[p1]") || !dump.contains("id=p1");
    }

    private Stream<String> dumps() throws Exception {
        return Stream.of(deployment.dump(), deployment.dumpSecond());
    }
}
