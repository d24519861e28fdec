package io.waxwingquay.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.transport.generated.AttemptState;
import io.waxwingquay.transport.generated.LoadReport;
import io.waxwingquay.transport.generated.PollAnswer;
import io.waxwingquay.transport.generated.PollRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ThriftConnectionsTest {

    private static final String LOOPBACK = "127.0.0.1";
    private static final HostPort ANY_PORT = new HostPort(LOOPBACK, 0);

    // Long polls that are waiting must not block other calls to the same process.
    @Test
    void carriesManyConcurrentLongPolls() {
        CompletableFuture<Void> release = new CompletableFuture<>();
        SideProtocol handler = new UnansweringSide() {
            @Override
            public CompletableFuture<PollAnswer> poll(PollRequest request) {
                return release.thenApply(ignored -> answerFor(request));
            }
        };
        try (ThriftServer server = ThriftServer.bind(ANY_PORT).serveSide(handler);
                ThriftConnections connections = longTimeoutBuilder().build()) {
            SideProtocol client = connections.to(server.address());
            List<CompletableFuture<PollAnswer>> answers = IntStream.range(0, 100)
                    .mapToObj(number -> client.poll(new PollRequest("attempt", number, 20_000L)))
                    .toList();
            assertTrue(client.ping().join());
            release.complete(null);
            IntStream.range(0, 100)
                    .forEach(number ->
                            assertEquals(number, answers.get(number).join().getTotalUnits()));
        }
    }

    // Only a call that was certainly not delivered may be sent again without risk of running twice.
    @Test
    void callOnRefusedConnectionWasNotDelivered() throws IOException {
        HostPort closed;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            closed = new HostPort(LOOPBACK, socket.getLocalPort());
        }
        try (ThriftConnections connections = longTimeoutBuilder().build()) {
            assertFalse(failureOf(connections.to(closed).ping()).mayHaveBeenDelivered());
        }
    }

    /*
     * The other end accepts the connection and the request and never answers.
     * The call must fail within its timeout rather than hang, and must count as possibly delivered.
     */
    @Test
    void callThatTimedOutMayHaveBeenDelivered() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK));
                ThriftConnections connections =
                        ThriftConnections.builder().callTimeoutMillis(50L).build()) {
            CompletableFuture<Boolean> answer = connections
                    .to(new HostPort(LOOPBACK, silent.getLocalPort()))
                    .ping();
            try (Socket accepted = silent.accept()) {
                assertTrue(accepted.isConnected());
                assertTrue(failureOf(answer).mayHaveBeenDelivered());
            }
        }
    }

    /*
     * A connection becomes unresponsive and its call fails. The connection must be closed and the next call answered
     * over a new one; if it were reused, the next call would time out as well.
     */
    @Test
    void usesNewConnectionAfterTimeout() {
        CompletableFuture<Boolean> never = new CompletableFuture<>();
        int[] calls = {0};
        SideProtocol handler = new UnansweringSide() {
            @Override
            public CompletableFuture<Boolean> ping() {
                calls[0]++;
                return calls[0] == 2 ? never : CompletableFuture.completedFuture(true);
            }
        };
        try (ThriftServer server = ThriftServer.bind(ANY_PORT).serveSide(handler);
                ThriftConnections connections =
                        ThriftConnections.builder().callTimeoutMillis(300L).build()) {
            SideProtocol client = connections.to(server.address());
            assertTrue(client.ping().join());
            failureOf(client.ping());
            assertTrue(client.ping().join());
        }
    }

    @Test
    void countsTheBytesOfEachKindOfCall() {
        List<String> seen = new java.util.concurrent.CopyOnWriteArrayList<>();
        CallObserver observer = (method, writtenBytes, readBytes) -> {
            if (writtenBytes > 0L && readBytes > 0L) {
                seen.add(method);
            }
        };
        try (ThriftServer server = ThriftServer.bind(ANY_PORT).servePeer(new UnansweringSide());
                ThriftConnections connections =
                        longTimeoutBuilder().observer(observer).build()) {
            connections.to(server.address()).ping().join();
            assertEquals(List.of("ping"), seen);
        }
    }

    private static ThriftConnections.Builder longTimeoutBuilder() {
        return ThriftConnections.builder().callTimeoutMillis(20_000L);
    }

    private static TransportException failureOf(CompletableFuture<?> future) {
        CompletionException failure = assertThrows(CompletionException.class, future::join);
        return assertInstanceOf(TransportException.class, failure.getCause());
    }

    private static PollAnswer answerFor(PollRequest request) {
        return new PollAnswer(AttemptState.DONE, List.of(), new LoadReport()).setTotalUnits(request.getFromOffset());
    }
}
