package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.hosted.HostedDeployment.Answer;
import io.waxwingquay.net.ServerExchange;
import io.waxwingquay.standin.prepared.ReplicaStandin.Behaviour;
import io.waxwingquay.testing.Await;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SlowCallersTest {

    private static final String MODEL = "Model: m\r\n";
    private static final long BUDGET_BYTES = 1_048_576L;

    /** One event or one read of input: what is counted before its effect on the budget is looked at. */
    private static final long TOLERANCE_BYTES = 2 * 65_536L;

    private static final String PADDING = "x".repeat(8_192);

    /** More bytes than the kernel holds for a caller that reads nothing. */
    private static final int LONG_STREAM_EVENTS = 2_000;

    private static final int SHORT_STREAM_EVENTS = 40;
    private static final int STOPPED_CALLERS = 5;
    private static final int FAST_ROUNDS = 30;
    private static final int SLOW_BODY_BYTES = 110_000;

    private final RecordingBudget budget = new RecordingBudget(BUDGET_BYTES);
    private HostedDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = new HostedDeployment(budget);
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    // Guards against an entry whose memory is exhausted by callers that stop reading, against others that pay for
    // them, and against a stream that was cut off but looks complete.
    @Test
    void callersThatStopReadingAreCutOffAndOthersGetTheirWholeStreams() throws Exception {
        streamUntilClose();
        List<Socket> stopped = new ArrayList<>();
        for (int number = 0; number < STOPPED_CALLERS; number++) {
            stopped.add(begin("/s/long", "stopped-" + number));
        }
        Await.until(() -> deployment.heldBytes() > BUDGET_BYTES / 2);
        for (int round = 0; round < FAST_ROUNDS; round++) {
            Answer answer = askUntilTaken("POST", "/s/short", "fast-" + round, MODEL, "x");
            assertTrue(answer.complete(), "incomplete after " + answer.body().length());
            assertEquals(events(SHORT_STREAM_EVENTS), answer.body());
        }
        assertEquals(FAST_ROUNDS, countStarted("fast-"));
        Await.until(() -> deployment.dump().contains("active=0"));
        assertEquals(STOPPED_CALLERS, countStarted("stopped-"), "moved to another engine while paused");
        for (Socket socket : stopped) {
            assertFalse(readAll(socket).endsWith("\r\n0\r\n\r\n"));
        }
        Await.until(() -> deployment.heldBytes() == 0);
        assertTrue(budget.mostHeldBytes() <= BUDGET_BYTES + TOLERANCE_BYTES, "held bytes: " + budget.mostHeldBytes());
    }

    // Guards against a stream that is cut, moved to another engine or stuck because its engine finished it, and closed
    // the connection, while it was not read.
    @Test
    void streamsThatEndWhilePausedAreDeliveredWhole() throws Exception {
        streamUntilClose();
        List<Socket> sockets = List.of(begin("/live/long", "paused-1"), begin("/live/long", "paused-2"));
        Await.until(() -> deployment.heldBytes() > BUDGET_BYTES / 2);
        List<CompletableFuture<String>> answers = sockets.stream()
                .map(socket -> CompletableFuture.supplyAsync(() -> readAnswer(socket)))
                .toList();
        for (CompletableFuture<String> answer : answers) {
            assertEquals(events(LONG_STREAM_EVENTS), Await.value(answer));
        }
        Await.until(() -> deployment.heldBytes() == 0);
        assertEquals(2, countStarted("paused-"));
    }

    // Guards against bytes that stay counted, and an engine that goes on, when callers leave while they are paused.
    @Test
    void callersThatLeaveWhilePausedGiveEverythingBack() throws Exception {
        streamUntilClose();
        List<Socket> sockets = List.of(begin("/s/long", "left-1"), begin("/s/long", "left-2"));
        Await.until(() -> deployment.heldBytes() > BUDGET_BYTES / 2);
        sockets.forEach(Await::closeUnchecked);
        Await.until(() -> deployment.heldBytes() == 0 && deployment.dump().contains("active=0"));
    }

    // Guards against a body that is no longer counted though its request, which may run only once, goes on without its
    // caller, and against one that stays counted after that.
    @Test
    void bodyOfARequestThatOutlivesItsCallerIsCountedUntilItsEnd() throws Exception {
        Queue<ServerExchange> running = new ConcurrentLinkedQueue<>();
        Behaviour holding = (replica, caller) -> running.add(caller);
        deployment.plain1.behaviour(holding);
        deployment.plain2.behaviour(holding);
        try (Socket socket = deployment.connect()) {
            write(socket, HostedDeployment.request("POST", "/once/1", "once", "", "x".repeat(SLOW_BODY_BYTES)));
            Await.until(() -> !running.isEmpty());
        }
        // Two answers of the loop: in the meantime it has noticed that the caller has left.
        deployment.dump();
        deployment.dump();
        assertEquals(SLOW_BODY_BYTES, deployment.heldBytes());
        deployment.schedule(0, () -> running.remove().respond(200, HttpFields.EMPTY, "done"));
        Await.until(() -> deployment.heldBytes() == 0);
    }

    // Guards against bodies that come slowly and together exhaust the memory of an entry, and against a refused
    // request that has run.
    @Test
    void requestsWithABodyAreRefusedWhileOthersFillTheBudget() throws Exception {
        List<Socket> slow = new ArrayList<>();
        Await.until(() -> {
            slow.add(beginBody());
            return ask("refused-1").status() == 503;
        });
        assertTrue(deployment.heldBytes() <= BUDGET_BYTES, "held bytes: " + deployment.heldBytes());
        Answer refused = ask("refused-2");
        assertEquals(503, refused.status());
        assertTrue(refused.head().contains("Retry-After: "), refused.head());
        assertTrue(refused.head().contains("Connection: close"), refused.head());
        assertEquals(200, askUntilTaken("GET", "/p/1", "bodyless", "", "").status());
        assertEquals(0, countStarted("refused-2"));
        slow.forEach(Await::closeUnchecked);
        Await.until(() -> deployment.heldBytes() == 0);
        assertEquals(200, askUntilTaken("POST", "/p/1", "again", "", "xy").status());
    }

    private void streamUntilClose() {
        String longText = events(LONG_STREAM_EVENTS);
        String shortText = events(SHORT_STREAM_EVENTS);
        Behaviour behaviour = (engine, caller) -> Behaviour.streamUntilClose(
                        caller.request().path().endsWith("/long") ? longText : shortText)
                .run(engine, caller);
        deployment.engine1.behaviour(behaviour);
        deployment.engine2.behaviour(behaviour);
    }

    private Socket begin(String path, String id) throws IOException {
        Socket socket = deployment.connect();
        write(socket, HostedDeployment.request("POST", path, id, MODEL, "x"));
        return socket;
    }

    /** Sends a request whose last byte does not come. */
    private Socket beginBody() throws IOException {
        Socket socket = deployment.connect();
        String whole = HostedDeployment.request("POST", "/p/1", "slow", "", "x".repeat(SLOW_BODY_BYTES));
        write(socket, whole.substring(0, whole.length() - 1));
        return socket;
    }

    private Answer ask(String id) throws Exception {
        return askUntilTaken("POST", "/p/1", id, "", "x".repeat(SLOW_BODY_BYTES));
    }

    /** Asks again where the entry turns the connection away unread, as it does while its loop is busy. */
    private Answer askUntilTaken(String method, String path, String id, String fields, String body) throws Exception {
        List<Answer> answers = new ArrayList<>();
        Await.until(() -> {
            try {
                answers.add(deployment.ask(method, path, id, fields, body));
            } catch (SocketException closedUnread) {
                return false;
            }
            return answers.get(answers.size() - 1).status() != 0;
        });
        return answers.get(answers.size() - 1);
    }

    private long countStarted(String idPrefix) {
        return Stream.of(deployment.engine1, deployment.engine2, deployment.plain1, deployment.plain2)
                .flatMap(replica -> replica.startedAttemptIds().stream())
                .filter(id -> id.startsWith(idPrefix))
                .count();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private static String readAnswer(Socket socket) {
        try {
            Answer answer = HostedDeployment.exchange(socket, "");
            assertTrue(answer.complete(), "incomplete after " + answer.body().length());
            return answer.body();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static String readAll(Socket socket) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        try (InputStream in = socket.getInputStream()) {
            in.transferTo(read);
        } catch (SocketException reset) {
            // a connection that was cut off ends like this
        }
        return read.toString(StandardCharsets.ISO_8859_1);
    }

    private static String events(int last) {
        return IntStream.rangeClosed(1, last)
                .mapToObj(number -> "id: " + number + "\ndata: " + PADDING + "\n\n")
                .collect(Collectors.joining());
    }
}
