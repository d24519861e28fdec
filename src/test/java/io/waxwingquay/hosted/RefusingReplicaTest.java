package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.standin.prepared.ReplicaStandin;
import io.waxwingquay.testing.Await;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RefusingReplicaTest {

    /** Longer than any test runs. */
    private static final String RETRY_AFTER_SECONDS = "600.5";

    /** What is left of it after the longest test. */
    private static final int MIN_RETRY_AFTER_SECONDS = 400;

    private static final String MODEL = "Model: m\r\nToken-Counts: 10,10\r\n";

    private static final ReplicaStandin.Behaviour REFUSE = (replica, caller) -> caller.respond(
            503,
            HttpFields.build(replica.responseFields(caller))
                    .put("Not-Executed", "1")
                    .put("Retry-After", RETRY_AFTER_SECONDS),
            "busy");

    private HostedDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = new HostedDeployment();
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    // Guards against requests to a plain replica that wants none for the time that its refusal names, also after its
    // row has been dropped and listed again.
    @Test
    void plainReplicaGetsNothingForTheTimeItsRefusalNames() throws Exception {
        deployment.plain1.behaviour(REFUSE);
        deployment.unlist("p2");
        assertEquals(503, ask("/brief/1", "").status());
        deployment.list(deployment.plain2, "p2", "plain");
        deployment.assertNoneReach(deployment.plain1, "/brief/1", "", 200);
        deployment.unlist("p1");
        deployment.list(deployment.plain1, "p1", "plain");
        deployment.unlist("p2");
        deployment.assertNoneReach(deployment.plain1, "/brief/1", "", 503);
    }

    // Guards against requests to an engine that wants none for the time that its refusal names.
    @Test
    void engineGetsNothingForTheTimeItsRefusalNames() throws Exception {
        deployment.engine1.behaviour(REFUSE);
        deployment.unlist("e2");
        assertEquals(503, ask("/quick/1", MODEL).status());
        deployment.list(deployment.engine2, "e2", "engines");
        deployment.assertNoneReach(deployment.engine1, "/quick/1", MODEL, 200);
        deployment.unlist("e2");
        deployment.assertNoneReach(deployment.engine1, "/quick/1", MODEL, 503);
    }

    // Guards against a delay for callers that is shorter than the one for which all replicas refuse.
    @Test
    void callerIsToldToComeBackWhenAReplicaAcceptsRequestsAgain() throws Exception {
        deployment.plain1.behaviour(REFUSE);
        deployment.plain2.behaviour(REFUSE);
        Await.until(() -> {
            ask("/brief/1", "");
            return reached(deployment.plain1) > 0 && reached(deployment.plain2) > 0;
        });
        String head = ask("/brief/1", "").head();
        Matcher retryAfter = Pattern.compile("Retry-After: (\\d+)").matcher(head);
        assertTrue(retryAfter.find() && Integer.parseInt(retryAfter.group(1)) >= MIN_RETRY_AFTER_SECONDS, head);
    }

    private HostedDeployment.Answer ask(String path, String fields) throws Exception {
        return deployment.ask("POST", path, "h", fields, "x");
    }

    private static int reached(ReplicaStandin replica) {
        return replica.startedAttemptIds().size();
    }
}
