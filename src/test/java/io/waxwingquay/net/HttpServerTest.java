package io.waxwingquay.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.testing.Await;
import io.waxwingquay.testing.FreePorts;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

class HttpServerTest {

    private static final int CONNECTIONS = 20;

    private final AtomicInteger opened = new AtomicInteger();
    private final AtomicInteger handled = new AtomicInteger();

    // Guards against a reset in place of a refusal at an entry that can't keep up: most callers have sent a request by
    // the
    // time their connection is accepted, and would come back at once, to be turned away again.
    @Test
    void requestOnAConnectionThatIsNotTakenIsRefused() throws Exception {
        int port = FreePorts.adjacent(1, List.of("127.0.0.1"));
        try (EventLoop loop = EventLoop.start("test")) {
            ConnectionPolicy everySecond = nowMillis -> opened.getAndIncrement() % 2 == 0;
            ServerMemory memory = new ServerMemory(
                    BufferBudget.disabled(), millis -> HttpFields.build().put("Retry-After", Long.toString(millis)));
            HttpServer.listen(loop, new InetSocketAddress("127.0.0.1", port), everySecond, memory, exchange -> {
                handled.incrementAndGet();
                exchange.respond(200, HttpFields.EMPTY, "here");
            });
            List<String> statuses = new ArrayList<>();
            for (int number = 0; number < CONNECTIONS; number++) {
                statuses.add(statusOf(port, "x".repeat(number * 1_000)));
            }
            assertEquals(CONNECTIONS / 2, Collections.frequency(statuses, "200"), statuses.toString());
            assertEquals(CONNECTIONS / 2, Collections.frequency(statuses, "503"), statuses.toString());
            assertEquals(CONNECTIONS / 2, handled.get());
        }
    }

    // Guards against a reset of connections that the kernel has accepted by the time at which a server stops listening.
    @Test
    void connectionsHeldByTheKernelAreServedWhenListeningStops() throws Exception {
        int port = FreePorts.adjacent(1, List.of("127.0.0.1"));
        CountDownLatch connected = new CountDownLatch(1);
        try (EventLoop loop = EventLoop.start("test")) {
            HttpServer server = HttpServer.listen(
                    loop,
                    new InetSocketAddress("127.0.0.1", port),
                    exchange -> exchange.respond(200, HttpFields.EMPTY, "here"));
            loop.execute(() -> {
                Await.latch(connected);
                server.stopListening();
            });
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(30_000);
                socket.getOutputStream()
                        .write("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                connected.countDown();
                String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                assertTrue(answer.endsWith("here"), answer);
            }
            Await.until(() -> isRefused(port));
        }
    }

    private static boolean isRefused(int port) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            return !socket.isConnected();
        } catch (ConnectException refused) {
            return true;
        }
    }

    // Guards against a connection that is closed without notice, on which a caller may send its next request.
    @Test
    void connectionThatIsNotKeptIsAnnouncedAndClosedAfterItsResponse() throws Exception {
        int port = FreePorts.adjacent(1, List.of("127.0.0.1"));
        try (EventLoop loop = EventLoop.start("test")) {
            HttpServer.listen(
                    loop,
                    new InetSocketAddress("127.0.0.1", port),
                    new KeepsNone(),
                    exchange -> exchange.respond(200, HttpFields.EMPTY, "here"));
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(30_000);
                socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                assertTrue(answer.contains("Connection: close"), answer);
                assertTrue(answer.endsWith("here"), answer);
            }
        }
    }

    /** Returns the status of the response to a request with a body; an empty text if there is none, or no time to retry. */
    private static String statusOf(int port, String body) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(30_000);
            String request = "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            return answer.isEmpty() || answer.startsWith("503", 9) && !answer.contains("Retry-After: ")
                    ? ""
                    : answer.substring(9, 12);
        } catch (SocketException reset) {
            return "";
        }
    }

    private static final class KeepsNone implements ConnectionPolicy {

        @Override
        public boolean accepts(long nowMillis) {
            return true;
        }

        @Override
        public boolean keeps(long nowMillis) {
            return false;
        }
    }
}
