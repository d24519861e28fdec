package io.waxwingquay.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.testing.Await;
import io.waxwingquay.testing.FreePorts;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ConnectionMemoryTest {

    private static final int CONNECTIONS = 150;
    private static final int ROUNDS = 3;

    /** Both ends of a connection run in this process. */
    private static final long MAX_BYTES_PER_CONNECTION = 32_768;

    private final EventLoop loop = EventLoop.start("test");
    private final List<ServerExchange> held = new ArrayList<>();
    private CountDownLatch allHeld = new CountDownLatch(CONNECTIONS);

    @AfterEach
    void stop() {
        loop.close();
    }

    // Guards against an entry whose heap is exhausted by a few hundred kept connections, each of which remembers the
    // header
    // fields of its earlier messages.
    @Test
    void connectionThatHasCarriedSeveralMessagesTakesLittleMemory() throws Exception {
        int port = FreePorts.adjacent(1, List.of("127.0.0.1"));
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
        HttpServer.listen(loop, address, exchange -> {
            held.add(exchange);
            allHeld.countDown();
        });
        ClientPool pool = new ClientPool(loop, address, CONNECTIONS);
        long before = usedBytes();
        for (int round = 0; round < ROUNDS; round++) {
            exchangeOnAll(pool);
        }
        long each = (usedBytes() - before) / CONNECTIONS;
        assertTrue(each < MAX_BYTES_PER_CONNECTION, "bytes per connection: " + each);
        loop.execute(pool::close);
    }

    /** Sends one request on each connection, and answers them once all have arrived. */
    private void exchangeOnAll(ClientPool pool) throws Exception {
        allHeld = new CountDownLatch(CONNECTIONS);
        CountDownLatch answered = new CountDownLatch(CONNECTIONS);
        HttpFields fields = HttpFields.build()
                .put("Host", "x.test")
                .put("Accept", "text/event-stream")
                .put("User-Agent", "client/1.0")
                .put("Content-Type", "application/json")
                .put("Attempt-Id", "9c41d07be2a35f68");
        ClientRequest request = new ClientRequest("POST", "/s/1", fields, new byte[] {'x'}, true);
        loop.execute(() -> {
            for (int number = 0; number < CONNECTIONS; number++) {
                pool.send(request, new Countdown(answered));
            }
        });
        Await.latch(allHeld);
        loop.execute(() -> {
            List<ServerExchange> arrived = List.copyOf(held);
            held.clear();
            HttpFields responseFields =
                    HttpFields.build().put("Content-Type", "application/json").put("Server", "replica/1.0");
            arrived.forEach(exchange -> exchange.respond(200, responseFields, new byte[] {'y'}));
        });
        Await.latch(answered);
    }

    private long usedBytes() throws Exception {
        CompletableFuture<Void> idle = new CompletableFuture<>();
        loop.execute(() -> idle.complete(null));
        Await.value(idle);
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private record Countdown(CountDownLatch latch) implements ClientListener {

        @Override
        public void onHead(int status, HttpFields fields) {}

        @Override
        public void onBody(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        public void onComplete() {
            latch.countDown();
        }

        @Override
        public void onFailure(boolean sent, String why) {
            throw new IllegalStateException(why);
        }
    }
}
