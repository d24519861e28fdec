package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.hosted.HostedDeployment.Answer;
import io.waxwingquay.standin.prepared.ReplicaStandin.Behaviour;
import io.waxwingquay.testing.Await;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the responses of an entry that shuts down. */
class HostedExitTest {

    /** More requests than one caller can send one after the other within the grace period. */
    private static final int MAX_REQUESTS = 10_000;

    private HostedDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = new HostedDeployment();
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    // Guards against an entry that refuses callers as soon as it is told to stop, while the platform still routes to
    // it.
    @Test
    void entryAnswersRequestsThatArriveDuringShutdown() throws Exception {
        CompletableFuture<Void> exited = deployment.shutdownEntry();
        assertEquals(503, deployment.readyStatus());
        Answer answer = deployment.ask("POST", "/p/1", "a16", "", "late");
        assertEquals(200, answer.status());
        assertTrue(answer.head().contains("Connection: close"), answer.head());
        Await.value(exited);
    }

    // Guards against a request that waits for an unavailable model until the exit, and whose connection is then closed
    // without a response. Rejected in time, it can be sent to another entry.
    @Test
    void waitingRequestIsRejectedDuringShutdown() throws Exception {
        CompletableFuture<Answer> waiting = CompletableFuture.supplyAsync(() -> {
            try {
                return deployment.ask("POST", "/s/1", "a23", "Model: nowhere\r\n", "");
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        });
        Await.until(() -> deployment.dump().contains("active=1"));
        Await.value(deployment.shutdownEntry());
        assertTrue(deployment.dump().contains("active=0"), "the entry exited with a waiting request");
        assertEquals(503, Await.value(waiting).status());
    }

    // Guards against requests that are admitted between the check that finds no request in progress and the exit,
    // some 60 ms later. They were forwarded and ran, but their connections ended without a response or a log line.
    // This happens while all entries shut down, as callers then still reach them.
    @Test
    void everyRequestForwardedDuringShutdownIsAnswered() throws Exception {
        setPlainBehaviour((engine, caller) -> deployment.schedule(20, () -> Behaviour.ECHO.run(engine, caller)));
        CompletableFuture<Void> exited = deployment.exitEntry();
        List<String> answered = new ArrayList<>();
        for (int number = 0; !exited.isDone(); number++) {
            assertTrue(number < MAX_REQUESTS, "the entry does not exit");
            String id = "a24-" + number;
            if (isAnswered(id)) {
                answered.add(id);
            }
        }
        List<String> unanswered = new ArrayList<>(plainRuns());
        unanswered.removeAll(answered);
        assertEquals(List.of(), unanswered);
    }

    // Guards against closing the connection without a response when a non-idempotent request is still running at the
    // end of the grace period. As it may have run, it is answered with a status that leaves this open.
    @Test
    void unansweredRequestIsReportedAsPossiblyRunAtExit() throws Exception {
        setPlainBehaviour((engine, caller) -> {});
        CompletableFuture<Answer> asked = CompletableFuture.supplyAsync(() -> {
            try {
                return deployment.ask("POST", "/once/1", "a30", "", "pay");
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        });
        Await.until(() -> plainRuns().contains("a30"));
        CompletableFuture<Void> exited = deployment.exitEntry();
        assertEquals(502, Await.value(asked).status());
        Await.value(exited);
    }

    private boolean isAnswered(String id) {
        try {
            return deployment.ask("POST", "/brief/1", id, "", "pay").status() == 200;
        } catch (IOException gone) {
            return false;
        }
    }

    private void setPlainBehaviour(Behaviour behaviour) {
        deployment.plain1.behaviour(behaviour);
        deployment.plain2.behaviour(behaviour);
    }

    private List<String> plainRuns() {
        List<String> all = new ArrayList<>(deployment.plain1.startedAttemptIds());
        all.addAll(deployment.plain2.startedAttemptIds());
        return all;
    }
}
