package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.hosted.HostedDeployment.Answer;
import io.waxwingquay.standin.prepared.ReplicaStandin.Behaviour;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Engines of two software versions serve one model, and streams are cut after some events. */
class SoftwareVersionTest {

    private static final String MODEL = "Model: m\r\n";

    private HostedDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = new HostedDeployment();
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    // Guards against one response with events of two software versions: its engine crashed, and an engine of another
    // version resumed it.
    @Test
    void streamIsNotResumedAtAnotherSoftwareVersionWithinItsResponse() throws Exception {
        mixVersions();
        deployment.engine1.behaviour(Behaviour.stream(6, 3));
        deployment.engine2.behaviour(Behaviour.stream(6, 4));
        for (int number = 0; number < 4; number++) {
            Answer answer = deployment.ask("POST", "/s/1", "w1-" + number, MODEL, "");
            assertFalse(answer.complete(), answer.body());
            assertTrue(HostedDeployment.events(4).startsWith(answer.body()), answer.body());
            assertEquals(1, attemptsAt("w1-" + number));
        }
    }

    // Guards against events of two software versions over several attempts of a client: another entry, which did not
    // start the stream, resumes it at an engine of another version.
    @Test
    void streamIsNotResumedAtAnotherSoftwareVersionByAnotherEntry() throws Exception {
        deployment.startSecondEntry();
        mixVersions();
        for (int number = 0; number < 8; number++) {
            String started = "w2-" + number;
            Answer cut = cutStream(started);
            Answer rest = deployment.askSecond("/s/1", "w3-" + number, resuming(started), "");
            assertEquals(200, rest.status(), rest.body());
            assertEquals(seal(cut), seal(rest));
            assertEquals(HostedDeployment.events(6), cut.body() + rest.body());
        }
    }

    // Guards against a stream of unknown origin that is resumed at any version, and against a false "it has not run".
    @Test
    void streamOfUnknownOriginIsRefusedAndNotRun() throws Exception {
        mixVersions();
        Answer answer = deployment.ask("POST", "/s/1", "w4", resuming("nobody-knows"), "");
        assertEquals(503, answer.status());
        assertTrue(answer.head().contains("Retry-After"), answer.head());
        assertEquals(0, attemptsAt("w4"));
    }

    /** Has a stream cut after its third event; from then on the engines stream to the end. */
    private Answer cutStream(String id) throws Exception {
        deployment.engine1.behaviour(Behaviour.stream(6, 3));
        deployment.engine2.behaviour(Behaviour.stream(6, 3));
        Answer cut = deployment.ask("POST", "/s/1", id, MODEL, "");
        assertFalse(cut.complete(), cut.body());
        deployment.engine1.behaviour(Behaviour.stream(6, 0));
        deployment.engine2.behaviour(Behaviour.stream(6, 0));
        return cut;
    }

    private static String seal(Answer answer) {
        int from = answer.head().indexOf("Server-Seal: ");
        return answer.head().substring(from, answer.head().indexOf("\r\n", from));
    }

    private void mixVersions() throws Exception {
        deployment.engine2.softwareVersion("v1.1");
        deployment.list(deployment.engine2, "e2", "engines");
        deployment.awaitSoftwareVersion("e2", "v1.1");
    }

    private long attemptsAt(String id) {
        return deployment.engine1.startedAttemptIds().stream()
                        .filter(id::equals)
                        .count()
                + deployment.engine2.startedAttemptIds().stream()
                        .filter(id::equals)
                        .count();
    }

    private static String resuming(String started) {
        return MODEL + "Last-Event-Id: 3\r\nResumes: " + started + "\r\n";
    }
}
