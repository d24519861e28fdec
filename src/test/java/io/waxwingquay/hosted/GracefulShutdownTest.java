package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.waxwingquay.forward.OpenRequests;
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

    /** Left of the grace time for the exit itself. */
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

    // A process is told to stop twice. The second signal began the departure anew, so that the exit came seconds after
    // the platform had killed the process, and all that was under way was cut without a word.
    @Test
    void secondSignalDoesNotDelayTheExit() throws Exception {
        CompletableFuture<Void> first = shutdown.start();
        CompletableFuture<Void> second = shutdown.start();
        Await.value(first);
        Await.value(second);
        assertEquals(1, requests.drainMillis.size());
    }

    // The loop stands still when the signal comes. The grace time was counted from when the loop got round to it, so
    // that requests were taken that the platform's kill would cut.
    @Test
    void graceTimeIsCountedFromTheSignal() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        loop.execute(() -> Await.quietly(released));
        CompletableFuture<Void> done = shutdown.start();
        nowMillis.addAndGet(STALL_MILLIS);
        released.countDown();
        Await.value(done);
        assertEquals(List.of(GRACE_MILLIS - EXIT_RESERVE_MILLIS - STALL_MILLIS), requests.drainMillis);
    }

    /** No request is open. */
    private static final class NoOpenRequests implements OpenRequests {

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
        public void leaveWithin(long millis) {
            drainMillis.add(millis);
        }

        /** {@inheritDoc} */
        @Override
        public void endAdmission() {}
    }
}
