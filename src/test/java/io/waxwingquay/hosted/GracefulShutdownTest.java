package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.waxwingquay.forward.RequestDrain;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.HttpServer;
import io.waxwingquay.testing.Await;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class GracefulShutdownTest {

    private static final long GRACE_MILLIS = 8_000L;

    /** Part of the grace period that is reserved for the exit itself. */
    private static final long EXIT_RESERVE_MILLIS = 500L;

    private static final long STALL_MILLIS = 400L;

    private final NoOpenRequests requests = new NoOpenRequests();
    private final AtomicLong nowMillis = new AtomicLong(1_000);
    private EventLoop loop;
    private GracefulShutdown shutdown;

    @BeforeEach
    void start() {
        loop = EventLoop.start("test");
        HttpServer server = HttpServer.listen(loop, new InetSocketAddress("127.0.0.1", 0), caller -> {});
        shutdown = new GracefulShutdown(loop, server, requests, GRACE_MILLIS, nowMillis::get);
    }

    @AfterEach
    void stop() {
        loop.close();
    }

    // Guards against a second stop signal that restarts the shutdown, so that the exit comes only after the platform
    // has killed the process and all requests in progress are aborted without a response.
    @Test
    void secondSignalDoesNotDelayTheExit() throws Exception {
        CompletableFuture<Void> first = shutdown.start();
        CompletableFuture<Void> second = shutdown.start();
        Await.value(first);
        Await.value(second);
        assertEquals(1, requests.drainMillis.size());
    }

    // Guards against a grace period that is counted from when a stalled loop handles the signal, so that requests are
    // accepted that the platform's kill would abort.
    @Test
    void gracePeriodIsCountedFromTheSignal() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        loop.execute(() -> Await.latch(released));
        CompletableFuture<Void> done = shutdown.start();
        nowMillis.addAndGet(STALL_MILLIS);
        released.countDown();
        Await.value(done);
        assertEquals(List.of(GRACE_MILLIS - EXIT_RESERVE_MILLIS - STALL_MILLIS), requests.drainMillis);
    }

    /** Reports no open request and records the drain times that it is given. */
    private static final class NoOpenRequests implements RequestDrain {

        private final List<Long> drainMillis = new CopyOnWriteArrayList<>();

        /** {@inheritDoc} */
        @Override
        public int activeCount() {
            return 0;
        }

        /** {@inheritDoc} */
        @Override
        public List<String> activeIds() {
            return List.of();
        }

        /** {@inheritDoc} */
        @Override
        public List<String> activeStates() {
            return List.of();
        }

        /** {@inheritDoc} */
        @Override
        public void drainWithin(long millis) {
            drainMillis.add(millis);
        }

        /** {@inheritDoc} */
        @Override
        public void endAdmission() {}
    }
}
