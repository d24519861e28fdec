package io.waxwingquay.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.testing.Await;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ServerConnectionTest {

    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    /** More than the kernel buffers for a peer that reads nothing. */
    private static final int LONG_BODY_BYTES = 32 * 1024 * 1024;

    private static final long SHORT_IDLE_MILLIS = 50L;

    private final CompletableFuture<Void> answered = new CompletableFuture<>();
    private final CompletableFuture<ServerConnection> accepted = new CompletableFuture<>();
    private final CompletableFuture<ServerExchange> held = new CompletableFuture<>();
    private EventLoop loop;
    private HttpServer server;
    private int port;

    @BeforeEach
    void start() throws Exception {
        loop = EventLoop.start("test");
        server = HttpServer.listen(loop, ANY_PORT, this::answer);
        port = loop.listen(ANY_PORT, endPoint -> {
            ServerConnection connection = new ServerConnection(endPoint, loop, server);
            accepted.complete(connection);
            return connection;
        });
    }

    @AfterEach
    void stop() {
        loop.close();
    }

    // Guards against a truncated response at shutdown: a connection whose caller reads a long response slowly must
    // not be closed as idle before the response has been sent.
    @Test
    void connectionIsNotIdleWhileItsResponseIsBeingSent() throws Exception {
        try (Socket socket = requestLongBody()) {
            onLoop(server::closeIdle);
            assertEquals(LONG_BODY_BYTES, readBodyBytes(socket));
        }
    }

    // Guards against an idle timeout that is counted from the creation of a response, and that passes while the
    // caller is still reading it.
    @Test
    void responseSentSlowlyOutlastsTheIdleTimeout() throws Exception {
        try (Socket socket = requestLongBody()) {
            ServerConnection connection = Await.value(accepted);
            long laterMillis = EventLoop.nowMillis() + 2 * ServerLimits.DEFAULT.idleTimeoutMillis();
            onLoop(() -> connection.checkTimeouts(laterMillis));
            assertEquals(LONG_BODY_BYTES, readBodyBytes(socket));
        }
    }

    // Guards against a truncated response when a configuration lowers the idle timeout: a connection whose caller reads
    // slowly owes it the rest, and is not idle.
    @Test
    void responseSentSlowlyOutlastsALoweredIdleTimeout() throws Exception {
        try (Socket socket = requestLongBody()) {
            ServerConnection connection = Await.value(accepted);
            Await.until(() -> writeStalledMillis(connection) > SHORT_IDLE_MILLIS);
            onLoop(() -> {
                server.updateLimits(new ServerLimits(32_768, 10, 60_000, SHORT_IDLE_MILLIS));
                connection.checkTimeouts(EventLoop.nowMillis());
            });
            assertEquals(LONG_BODY_BYTES, readBodyBytes(socket));
        }
    }

    // Guards against a reset in place of a response: a request that arrived while the loop was busy is still unread
    // when the idle timeout of its connection is checked.
    @Test
    void pendingRequestIsReadBeforeItsConnectionIsClosedAsIdle() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(30_000);
            ServerConnection connection = Await.value(accepted);
            long laterMillis = EventLoop.nowMillis() + 2 * ServerLimits.DEFAULT.idleTimeoutMillis();
            onLoop(() -> {
                Await.closeUnchecked(
                        () -> write(socket, "GET / HTTP/1.1\r\nHost: x.test\r\nConnection: close\r\n\r\n"));
                connection.checkTimeouts(laterMillis);
            });
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        }
    }

    // Guards against closing a connection after such a request, although the response does not announce the close and
    // the caller goes on using the connection.
    @Test
    void connectionStaysOpenWhenARequestIsReadAtTheIdleTimeout() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(30_000);
            ServerConnection connection = Await.value(accepted);
            long laterMillis = EventLoop.nowMillis() + 2 * ServerLimits.DEFAULT.idleTimeoutMillis();
            onLoop(() -> {
                Await.closeUnchecked(() -> write(socket, "GET / HTTP/1.1\r\nHost: x.test\r\n\r\n"));
                connection.checkTimeouts(laterMillis);
            });
            write(socket, "GET / HTTP/1.1\r\nHost: x.test\r\nConnection: close\r\n\r\n");
            String answers = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertEquals(2, answers.split("HTTP/1.1 200 ", -1).length - 1);
        }
    }

    // Guards against the same reset at shutdown, when idle connections are closed every 50 ms.
    @Test
    void pendingRequestIsReadBeforeItsConnectionIsClosedAtShutdown() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(30_000);
            Await.value(accepted);
            onLoop(() -> {
                Await.closeUnchecked(
                        () -> write(socket, "GET / HTTP/1.1\r\nHost: x.test\r\nConnection: close\r\n\r\n"));
                server.closeIdle();
            });
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        }
    }

    // Guards against a reset in place of a response: the first request of a caller follows a round trip after its
    // connection is accepted, and idle connections are closed in between.
    @Test
    void connectionThatHasJustBeenOpenedIsNotClosedAtShutdown() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(30_000);
            Await.value(accepted);
            onLoop(server::closeIdle);
            write(socket, "GET / HTTP/1.1\r\nHost: x.test\r\nConnection: close\r\n\r\n");
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        }
    }

    // Guards against a shutdown that waits for callers that open a connection and send nothing.
    @Test
    void connectionWithoutARequestIsClosedAtShutdownAfterAWhile() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(30_000);
            Await.value(accepted);
            Await.until(() -> {
                onLoop(server::closeIdle);
                return connectionCount() == 0;
            });
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    // Guards against closing the connection of a caller that pipelines more than the buffer holds: its first request
    // has already been forwarded and would get no response. Reading has to pause instead.
    @Test
    void callerThatPipelinesMoreThanTheBufferGetsEveryResponse() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(30_000);
            String padding = "X-Padding: " + "x".repeat(3_000) + "\r\n";
            StringBuilder all = new StringBuilder("GET /held HTTP/1.1\r\nHost: x.test\r\n\r\n");
            for (int number = 0; number < 99; number++) {
                all.append("GET / HTTP/1.1\r\nHost: x.test\r\n").append(padding).append("\r\n");
            }
            all.append("GET / HTTP/1.1\r\nHost: x.test\r\nConnection: close\r\n\r\n");
            CompletableFuture<Void> written =
                    CompletableFuture.runAsync(() -> Await.closeUnchecked(() -> write(socket, all.toString())));
            ServerExchange first = Await.value(held);
            for (int round = 0; round < 20; round++) {
                onLoop(() -> {});
            }
            onLoop(() -> first.respond(200, HttpFields.EMPTY, new byte[2]));
            String answers = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertEquals(101, answers.split("HTTP/1.1 200 ", -1).length - 1);
            Await.value(written);
        }
    }

    // Guards against a lost 413 response: closing a connection with unread input makes the kernel reset it. Only the
    // output is shut down, and further input is discarded until the caller closes.
    @Test
    void responseToAPartlyReadRequestEndsWithoutAReset() throws Exception {
        onLoop(() -> server.updateLimits(new ServerLimits(32_768, 10, 60_000, 120_000)));
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(30_000);
            write(socket, "POST / HTTP/1.1\r\nHost: x.test\r\nContent-Length: 1000000\r\n\r\n");
            write(socket, "x".repeat(1_000_000));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answer.startsWith("HTTP/1.1 413 "), answer);
        }
        Await.until(() -> connectionCount() == 0);
    }

    // Guards against a connection leak when a caller never closes its side after the last response.
    @Test
    void connectionIsClosedEvenIfItsCallerDoesNotClose() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            write(socket, "GET / HTTP/1.1\r\nHost: x.test\r\nConnection: close\r\n\r\n");
            Await.value(answered);
            ServerConnection connection = Await.value(accepted);
            long laterMillis = EventLoop.nowMillis() + 2_000;
            onLoop(() -> connection.checkTimeouts(laterMillis));
            assertEquals(0, connectionCount());
        }
    }

    private long writeStalledMillis(ServerConnection connection) throws Exception {
        CompletableFuture<Long> stalled = new CompletableFuture<>();
        loop.execute(() -> stalled.complete(connection.writeStalledMillis()));
        return Await.value(stalled);
    }

    private int connectionCount() throws Exception {
        CompletableFuture<Integer> count = new CompletableFuture<>();
        loop.execute(() -> count.complete(server.connectionCount()));
        return Await.value(count);
    }

    private Socket requestLongBody() throws Exception {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(30_000);
        write(socket, "GET /long HTTP/1.1\r\nHost: x.test\r\n\r\n");
        Await.value(answered);
        return socket;
    }

    private void answer(ServerExchange caller) {
        if (caller.request().path().equals("/held")) {
            held.complete(caller);
            return;
        }
        byte[] body = new byte[caller.request().path().equals("/long") ? LONG_BODY_BYTES : 2];
        caller.respond(200, HttpFields.EMPTY, body);
        answered.complete(null);
    }

    private void onLoop(Runnable task) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            task.run();
            done.complete(null);
        });
        Await.value(done);
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private static long readBodyBytes(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
        assertTrue(head.indexOf(" 200 ") > 0, head.toString());
        return in.readNBytes(LONG_BODY_BYTES).length;
    }
}
