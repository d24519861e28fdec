package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.hosted.HostedDeployment.Answer;
import io.waxwingquay.standin.prepared.ReplicaStandin.Behaviour;
import io.waxwingquay.testing.Await;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the responses of an entry that shuts down. */
class HostedExitTest {

    /** More requests than one caller can send one after the other within the grace period. */
    private static final int MAX_REQUESTS = 10_000;

    /** More than the kernel buffers for a caller that reads nothing. */
    private static final int LONG_BODY_BYTES = 7 * 1024 * 1024;

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

    // Guards against a reset in place of a refusal: a request that is still being received at the exit has not run, and
    // its caller can turn to another entry at once.
    @Test
    void requestStillBeingReceivedIsRefusedAtExit() throws Exception {
        try (Socket socket = deployment.connect()) {
            send(socket, "POST /once/1 HTTP/1.1\r\nHost: x.test\r\nAttempt-Id: a31\r\nContent-Length: 10\r\n\r\npart");
            CompletableFuture<Void> exited = deployment.exitEntry();
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
            assertTrue(answer.contains("Retry-After: "), answer);
            Await.value(exited);
        }
        assertEquals(List.of(), plainRuns());
    }

    // Guards against the same for a request of which only a part of the head has arrived.
    @Test
    void requestWithoutACompleteHeadIsRefusedAtExit() throws Exception {
        try (Socket socket = deployment.connect()) {
            send(socket, "POST /once/1 HTTP/1.1\r\nHost: x.test\r\n");
            CompletableFuture<Void> exited = deployment.exitEntry();
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
            Await.value(exited);
        }
    }

    // Guards against connections that the kernel still accepts for an entry whose exit resets them, with requests that
    // nobody has read. Callers that can't connect go to another entry at once.
    @Test
    void entryAcceptsNoConnectionOnceItMayExit() throws Exception {
        Await.value(deployment.shutdownEntry());
        assertThrows(ConnectException.class, () -> deployment.connect());
    }

    // Guards against a response that is lost at the exit because its caller reads it slowly: the process stays until
    // the
    // response has been sent.
    @Test
    void responseThatItsCallerReadsSlowlyIsSentBeforeTheExit() throws Exception {
        byte[] body = new byte[LONG_BODY_BYTES];
        setPlainBehaviour((engine, caller) -> caller.respond(200, engine.responseFields(caller), body));
        try (Socket socket = deployment.connect()) {
            send(socket, HostedDeployment.request("POST", "/p/1", "a32", "", "x"));
            Await.until(
                    () -> deployment.dump().contains("active=0") && plainRuns().contains("a32"));
            CompletableFuture<Void> exited = deployment.exitEntry();
            Await.until(() -> deployment.readyStatus() == 503);
            assertEquals(
                    LONG_BODY_BYTES,
                    HostedDeployment.Answer.read(socket.getInputStream()).body().length());
            Await.value(exited);
        }
    }

    // Guards against a stream that looks complete, or ends within an event, if it is still running at the exit.
    @Test
    void streamThatOutlastsTheGracePeriodEndsIncompleteBetweenTwoEvents() throws Exception {
        String half = "id: 2\ndata: ev";
        Behaviour endless = (engine, caller) -> {
            caller.begin(200, HttpFields.build(engine.responseFields(caller)).put("Content-Type", "text/event-stream"));
            caller.write(ByteBuffer.wrap((HostedDeployment.events(1) + half).getBytes(StandardCharsets.UTF_8)));
        };
        deployment.engine1.behaviour(endless);
        deployment.engine2.behaviour(endless);
        try (Socket socket = deployment.connect()) {
            send(socket, HostedDeployment.request("POST", "/live/1", "a33", "Model: m\r\nToken-Counts: 10,10\r\n", ""));
            Await.until(() -> deployment.dump().contains("active=1"));
            CompletableFuture<Void> exited = deployment.exitEntry();
            Answer answer = HostedDeployment.Answer.read(socket.getInputStream());
            assertEquals(HostedDeployment.events(1), answer.body());
            assertFalse(answer.complete(), answer.body());
            Await.value(exited);
        }
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
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
