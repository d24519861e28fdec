package io.waxwingquay.hosted;

import io.waxwingquay.forward.OpenRequests;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.HttpServer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

/**
 * How an entry leaves without cutting a request.
 *
 * <p>Failure: an entry that is told to stop stops listening at once. Symptom: callers whom the platform still sends
 * here are refused, and requests on kept connections are cut. So it is not ready from the first moment, but takes
 * requests until the platform has looked twice and sends nobody any more, each answer ending its connection; then
 * idle ones are closed, what could not end in time is refused, and it exits when no request is under way and no
 * connection is open, or just before it would be killed.
 *
 * <p>Failure: while all entries leave, the platform sends callers to them all the same, and a request comes between
 * the look that finds nothing under way and the exit. Symptom: it is passed on, and cut. So that look also ends
 * admission: nothing can come under way afterwards, however long the exit itself takes.
 */
final class GracefulShutdown {

    /** The platform looks once a second and passes a process over after two misses. */
    private static final long READINESS_LAG_MILLIS = 2_600L;

    private static final long IDLE_CHECK_MILLIS = 50L;

    /** Left of the grace time for the exit itself. */
    private static final long EXIT_RESERVE_MILLIS = 500L;

    /** Time for the last answers to leave. */
    private static final long FLUSH_MILLIS = 60L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.hosted");

    private final EventLoop loop;
    private final HttpServer server;
    private final OpenRequests requests;
    private final long graceMillis;
    private final LongSupplier clockMillis;
    private final CompletableFuture<Void> completion = new CompletableFuture<>();
    private final AtomicBoolean started = new AtomicBoolean();

    GracefulShutdown(
            EventLoop loop, HttpServer server, OpenRequests requests, long graceMillis, LongSupplier clockMillis) {
        this.loop = loop;
        this.server = server;
        this.requests = requests;
        this.graceMillis = graceMillis;
        this.clockMillis = clockMillis;
    }

    boolean isStarted() {
        return started.get();
    }

    /** Begins to leave; a second signal changes nothing, as the grace time goes on from the first. */
    CompletableFuture<Void> start() {
        if (started.compareAndSet(false, true)) {
            long exitDeadlineMillis = clockMillis.getAsLong() + graceMillis - EXIT_RESERVE_MILLIS;
            loop.execute(() -> drain(exitDeadlineMillis));
        }
        return completion;
    }

    private void drain(long exitDeadlineMillis) {
        LOG.log(System.Logger.Level.INFO, "hosted: leaving active={0}", requests.activeCount());
        server.startDraining();
        loop.schedule(READINESS_LAG_MILLIS, () -> {
            requests.leaveWithin(exitDeadlineMillis - clockMillis.getAsLong());
            exitWhenIdle(exitDeadlineMillis);
        });
    }

    private void exitWhenIdle(long exitDeadlineMillis) {
        server.closeIdle();
        if (requests.activeCount() == 0 && server.connectionCount() == 0) {
            stopAdmission();
        } else if (clockMillis.getAsLong() > exitDeadlineMillis) {
            // After a stall answers lie unread; they are read before this is run.
            loop.schedule(0, this::stopAdmission);
        } else {
            loop.schedule(IDLE_CHECK_MILLIS, () -> exitWhenIdle(exitDeadlineMillis));
        }
    }

    private void stopAdmission() {
        LOG.log(System.Logger.Level.INFO, "hosted: left active={0}", requests.activeCount());
        requests.endAdmission();
        loop.schedule(FLUSH_MILLIS, this::complete);
    }

    /** A request that the exit cuts ends without a line of its own, so that its id is told here. */
    private void complete() {
        LOG.log(System.Logger.Level.INFO, "hosted: exits unanswered={0}", requests.activeIds());
        completion.complete(null);
    }
}
