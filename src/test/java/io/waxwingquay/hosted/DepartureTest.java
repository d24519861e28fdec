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

class DepartureTest {

    private static final long GRACE_MILLIS = 8_000L;

    /** Left of the grace time for the exit itself. */
    private static final long EXIT_MILLIS = 500L;

    private static final long STALL_MILLIS = 400L;

    private final Requests requests = new Requests();
    private final AtomicLong nowMillis = new AtomicLong(1_000);
    private EventLoop loop;
    private Departure departure;

    @BeforeEach
    void start() {
        loop = EventLoop.start("test");
        HttpServer server = HttpServer.listen(loop, new InetSocketAddress("127.0.0.1", 0), caller -> {});
        departure = new Departure(loop, server, requests, GRACE_MILLIS, nowMillis::get);
    }

    @AfterEach
    void stop() {
        loop.close();
    }

    // A process is told to stop twice. The second signal began the departure anew, so that the exit came seconds after
    // the platform had killed the process, and all that was under way was cut without a word.
    @Test
    void secondSignalDoesNotPutTheExitOff() throws Exception {
        CompletableFuture<Void> first = departure.begin();
        CompletableFuture<Void> second = departure.begin();
        Await.value(first);
        Await.value(second);
        assertEquals(1, requests.leftMillis.size());
    }

    // The loop stands still when the signal comes. The grace time was counted from when the loop got round to it, so
    // that requests were taken that the platform's kill would cut.
    @Test
    void graceTimeIsCountedFromTheSignal() throws Exception {
        CountDownLatch over = new CountDownLatch(1);
        loop.execute(() -> Await.quietly(over));
        CompletableFuture<Void> done = departure.begin();
        nowMillis.addAndGet(STALL_MILLIS);
        over.countDown();
        Await.value(done);
        assertEquals(List.of(GRACE_MILLIS - EXIT_MILLIS - STALL_MILLIS), requests.leftMillis);
    }

    /** No request is open. */
    private static final class Requests implements RequestDrain {

        private final List<Long> leftMillis = new CopyOnWriteArrayList<>();

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
        public void drainWithin(long millis) {
            leftMillis.add(millis);
        }

        /** {@inheritDoc} */
        @Override
        public void endAdmission() {}
    }
}
