package io.waxwingquay.hosted;

import io.waxwingquay.forward.OpenRequests;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.HttpServer;
import java.util.concurrent.CompletableFuture;

/**
 * How an entry leaves without cutting a request.
 *
 * <p>Failure: an entry that is told to stop stops listening at once. Symptom: callers whom the platform still sends here
 * are refused, and requests on kept connections are cut. So it is not ready from the first moment, but takes requests
 * until the platform has looked twice and sends nobody any more, each answer ending its connection; then idle ones are
 * closed, what could not end in time is refused, and it exits when no request is under way, or just before it would be killed.
 *
 * <p>Failure: while all entries leave, the platform sends callers to them all the same, and a request comes between the look
 * that finds nothing under way and the exit. Symptom: it is passed on, and cut. So that look also ends admission: nothing
 * can be under way afterwards, however long the exit itself takes.
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
    private final OpenRequests requests;
    private final long graceMillis;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private volatile boolean underWay;
    private long beganMillis;

    Departure(EventLoop loop, HttpServer server, OpenRequests requests, long graceMillis) {
        this.loop = loop;
        this.server = server;
        this.requests = requests;
        this.graceMillis = graceMillis;
    }

    boolean isUnderWay() {
        return underWay;
    }

    CompletableFuture<Void> begin() {
        underWay = true;
        loop.execute(() -> {
            beganMillis = EventLoop.nowMillis();
            LOG.log(System.Logger.Level.INFO, "hosted: leaving active={0}", requests.activeCount());
            server.leave();
            loop.schedule(UNNOTICED_MILLIS, () -> {
                requests.leaveWithin(graceMillis - UNNOTICED_MILLIS - EXIT_MILLIS);
                look();
            });
        });
        return done;
    }

    private void look() {
        server.closeIdle();
        boolean late = EventLoop.nowMillis() - beganMillis > graceMillis - EXIT_MILLIS;
        if (late || requests.activeCount() == 0 && server.connectionCount() == 0) {
            LOG.log(System.Logger.Level.INFO, "hosted: left active={0}", requests.activeCount());
            requests.endAdmission();
            loop.schedule(LAST_ANSWERS_MILLIS, this::end);
        } else {
            loop.schedule(LOOK_MILLIS, this::look);
        }
    }

    /** A request that the exit cuts ends without a line of its own, so that its id is told here. */
    private void end() {
        LOG.log(System.Logger.Level.INFO, "hosted: exits unanswered={0}", requests.activeIds());
        done.complete(null);
    }
}
