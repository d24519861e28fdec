package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.waxwingquay.testing.Await;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LeavingReplicaTest {

    private static final int REQUESTS = 20;

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

    private static boolean isUnlisted(String dump) {
        return dump.contains("missing=[p1]") || !dump.contains("id=p1");
    }

    private Stream<String> dumps() throws Exception {
        return Stream.of(deployment.dump(), deployment.dumpSecond());
    }
}
