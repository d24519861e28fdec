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

    /** More than the kernel takes from a process for a peer that reads nothing. */
    private static final int LONG_BODY_BYTES = 32 * 1024 * 1024;

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

    // A caller takes a long answer slowly. It was given before the process was told to stop, and is still leaving
    // when the connections without a request are closed: the caller got the first part of its answer and then
    // nothing. A connection is idle only when its last answer has left.
    @Test
    void connectionIsNotIdleWhileItsAnswerLeaves() throws Exception {
        try (Socket socket = requestLongBody()) {
            onLoop(server::closeIdle);
            assertEquals(LONG_BODY_BYTES, readBodyBytes(socket));
        }
    }

    // As before, but the operator's limit for idle connections passes while the answer leaves: the time counted
    // from the answer's making, though its caller takes it all the while.
    @Test
    void answerThatLeavesSlowlyOutlivesTheLimitOfIdleConnections() throws Exception {
        try (Socket socket = requestLongBody()) {
            ServerConnection connection = Await.value(accepted);
            long laterMillis = EventLoop.nowMillis() + 2 * ServerLimits.DEFAULT.idleTimeoutMillis();
            onLoop(() -> connection.checkTimeouts(laterMillis));
            assertEquals(LONG_BODY_BYTES, readBodyBytes(socket));
        }
    }

    // A caller uses a kept connection again while the loop is at something else. Its request lies in the kernel
    // when the idle connections are looked at, and the connection was closed on what had been read before: a reset
    // in place of an answer. What has come is read before a connection is closed as idle.
    @Test
    void requestThatHasComeIsReadBeforeItsConnectionIsClosedAsIdle() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(30_000);
            ServerConnection connection = Await.value(accepted);
            long laterMillis = EventLoop.nowMillis() + 2 * ServerLimits.DEFAULT.idleTimeoutMillis();
            onLoop(() -> {
                Await.closing(() -> write(socket, "GET / HTTP/1.1\r\nHost: x.test\r\nConnection: close\r\n\r\n"));
                connection.checkTimeouts(laterMillis);
            });
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        }
    }

    // The same, and the answer says nothing of a close: the connection has just been used, and its caller goes on with
    // it.
    @Test
    void connectionIsKeptWhenItsRequestIsReadAtTheLimitOfIdleConnections() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(30_000);
            ServerConnection connection = Await.value(accepted);
            long laterMillis = EventLoop.nowMillis() + 2 * ServerLimits.DEFAULT.idleTimeoutMillis();
            onLoop(() -> {
                Await.closing(() -> write(socket, "GET / HTTP/1.1\r\nHost: x.test\r\n\r\n"));
                connection.checkTimeouts(laterMillis);
            });
            write(socket, "GET / HTTP/1.1\r\nHost: x.test\r\nConnection: close\r\n\r\n");
            String answers = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertEquals(2, answers.split("HTTP/1.1 200 ", -1).length - 1);
        }
    }

    // The same when the process leaves: it closes what is idle every 50 ms, and a request that had come was reset away.
    @Test
    void requestThatHasComeIsReadBeforeItsConnectionIsClosedByALeavingProcess() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(30_000);
            Await.value(accepted);
            onLoop(() -> {
                Await.closing(() -> write(socket, "GET / HTTP/1.1\r\nHost: x.test\r\nConnection: close\r\n\r\n"));
                server.closeIdle();
            });
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        }
    }

    // A caller sends on while its first request is at a replica, more than is kept here. The connection was closed
    // for that: the request had been passed on, and its caller got no answer. Nothing more is read until there is
    // room.
    @Test
    void callerWhoSendsFarAheadGetsEveryAnswer() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(30_000);
            String padding = "X-Padding: " + "x".repeat(3_000) + "\r\n";
            StringBuilder all = new StringBuilder("GET /held HTTP/1.1\r\nHost: x.test\r\n\r\n");
            for (int number = 0; number < 99; number++) {
                all.append("GET / HTTP/1.1\r\nHost: x.test\r\n").append(padding).append("\r\n");
            }
            all.append("GET / HTTP/1.1\r\nHost: x.test\r\nConnection: close\r\n\r\n");
            CompletableFuture<Void> written =
                    CompletableFuture.runAsync(() -> Await.closing(() -> write(socket, all.toString())));
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

    // A caller sends a body that is too long, and is told so before it has sent all. The connection was closed with
    // bytes unread, which makes the kernel reset it: the answer is lost on its way, and the caller sees a broken
    // connection. The way out is closed first, and what still comes is dropped until the caller closes.
    @Test
    void answerToARequestThatWasNotReadWholeEndsInOrder() throws Exception {
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

    // The caller of the answer that ends its connection never closes its own side. The connection must not stay for
    // that.
    @Test
    void connectionIsClosedThoughItsCallerDoesNotClose() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            write(socket, "GET / HTTP/1.1\r\nHost: x.test\r\nConnection: close\r\n\r\n");
            Await.value(answered);
            ServerConnection connection = Await.value(accepted);
            long laterMillis = EventLoop.nowMillis() + 2_000;
            onLoop(() -> connection.checkTimeouts(laterMillis));
            assertEquals(0, connectionCount());
        }
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
