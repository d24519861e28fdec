package io.waxwingquay.hosted;

import io.waxwingquay.forward.RequestDrain;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.HttpServer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

/**
 * How an entry leaves without cutting a request.
 *
 * <p>Failure: an entry that is told to stop stops listening at once. Symptom: callers whom the platform still sends here
 * are refused, and requests on kept connections are cut. So it is not ready from the first moment, but takes requests
 * until the platform has looked twice and sends nobody any more, each answer ending its connection; then idle ones are
 * closed, what could not end in time is refused, and it exits when no request is under way and no connection
 * is open, or just before it would be killed.
 *
 * <p>Failure: while all entries leave, the platform sends callers to them all the same, and a request comes between the look
 * that finds nothing under way and the exit. Symptom: it is passed on, and cut. So that look also ends admission: nothing
 * can come under way afterwards, however long the exit itself takes.
 */
final class Departure {

    /** The platform looks once a second and passes a process over after two misses. */
    private static final long UNNOTICED_MILLIS = 2_600L;

    private static final long LOOK_MILLIS = 50L;

    /** Left of the grace time for the exit itself. */
    private static final long EXIT_MILLIS = 500L;

    /** Time for the last answers to leave. */
    private static final long LAST_ANSWERS_MILLIS = 60L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.hosted");

    private final EventLoop loop;
    private final HttpServer server;
    private final RequestDrain requests;
    private final long graceMillis;
    private final LongSupplier clockMillis;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private final AtomicBoolean underWay = new AtomicBoolean();

    Departure(EventLoop loop, HttpServer server, RequestDrain requests, long graceMillis, LongSupplier clockMillis) {
        this.loop = loop;
        this.server = server;
        this.requests = requests;
        this.graceMillis = graceMillis;
        this.clockMillis = clockMillis;
    }

    boolean isUnderWay() {
        return underWay.get();
    }

    /** Begins to leave; a second signal changes nothing, as the grace time goes on from the first. */
    CompletableFuture<Void> begin() {
        if (underWay.compareAndSet(false, true)) {
            long lastMillis = clockMillis.getAsLong() + graceMillis - EXIT_MILLIS;
            loop.execute(() -> leave(lastMillis));
        }
        return done;
    }

    private void leave(long lastMillis) {
        LOG.log(System.Logger.Level.INFO, "hosted: leaving active={0}", requests.activeCount());
        server.leave();
        loop.schedule(UNNOTICED_MILLIS, () -> {
            requests.drainWithin(lastMillis - clockMillis.getAsLong());
            look(lastMillis);
        });
    }

    private void look(long lastMillis) {
        server.closeIdle();
        if (requests.activeCount() == 0 && server.connectionCount() == 0) {
            exitSoon();
        } else if (clockMillis.getAsLong() > lastMillis) {
            // After a stall answers lie unread; they are read before this is run.
            loop.schedule(0, this::exitSoon);
        } else {
            loop.schedule(LOOK_MILLIS, () -> look(lastMillis));
        }
    }

    private void exitSoon() {
        LOG.log(System.Logger.Level.INFO, "hosted: left active={0}", requests.activeCount());
        requests.endAdmission();
        loop.schedule(LAST_ANSWERS_MILLIS, this::end);
    }

    /** A request that the exit cuts ends without a line of its own, so that its id is told here. */
    private void end() {
        LOG.log(System.Logger.Level.INFO, "hosted: exits unanswered={0}", requests.activeIds());
        done.complete(null);
    }
}
