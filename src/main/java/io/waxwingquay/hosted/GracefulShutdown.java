package io.waxwingquay.hosted;

import io.waxwingquay.forward.RequestDrain;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.HttpServer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

/**
 * The graceful shutdown of an entry, which lets the requests in progress finish.
 *
 * <p>If an entry stopped listening as soon as it is told to stop, callers that the platform still routes to it would
 * be refused, and requests on persistent connections would be aborted. Instead it reports not ready at once, but
 * accepts requests until the platform has checked its readiness twice and routes no caller to it any more; each
 * response closes its connection. After that it closes idle connections and rejects requests that can't finish in
 * time. It exits when no request is in progress and no connection is open, or just before the platform would kill it.
 *
 * <p>While all entries shut down, the platform routes callers to them although none is ready. A request could then
 * arrive between the check that finds no request in progress and the exit, be forwarded, and be aborted by the exit.
 * So that check also ends admission: no request can start afterwards, however long the exit itself takes. Requests that
 * are still being received then are rejected, as their callers would get a reset instead.
 */
final class GracefulShutdown {

    /** The platform checks readiness once a second and skips a process after two failed checks. */
    private static final long READINESS_LAG_MILLIS = 2_600L;

    private static final long IDLE_CHECK_MILLIS = 50L;

    /** Part of the grace period that is reserved for the exit itself. */
    private static final long EXIT_RESERVE_MILLIS = 500L;

    /** Time in which the last responses reach callers that read them. */
    private static final long FLUSH_MILLIS = 60L;

    /** The longest time after that to wait for callers that have yet to accept a part of their response. */
    private static final long MAX_SLOW_FLUSH_MILLIS = 200L;

    private static final long SLOW_FLUSH_CHECK_MILLIS = 20L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.hosted");

    private final EventLoop loop;
    private final HttpServer server;
    private final RequestDrain requests;
    private final long graceMillis;
    private final LongSupplier clockMillis;
    private final CompletableFuture<Void> completion = new CompletableFuture<>();
    private final AtomicBoolean started = new AtomicBoolean();

    GracefulShutdown(
            EventLoop loop, HttpServer server, RequestDrain requests, long graceMillis, LongSupplier clockMillis) {
        this.loop = loop;
        this.server = server;
        this.requests = requests;
        this.graceMillis = graceMillis;
        this.clockMillis = clockMillis;
    }

    boolean isStarted() {
        return started.get();
    }

    /** Starts the shutdown; a second signal has no effect, as the grace period is counted from the first. */
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
            requests.drainWithin(exitDeadlineMillis - clockMillis.getAsLong());
            exitWhenIdle(exitDeadlineMillis);
        });
    }

    private void exitWhenIdle(long exitDeadlineMillis) {
        server.closeIdle();
        if (requests.activeCount() == 0 && server.connectionCount() == 0) {
            beginExit();
        } else if (clockMillis.getAsLong() > exitDeadlineMillis) {
            // After a stall the answers of replicas may still be unread; they are read before the scheduled task runs.
            loop.schedule(0, this::beginExit);
        } else {
            loop.schedule(IDLE_CHECK_MILLIS, () -> exitWhenIdle(exitDeadlineMillis));
        }
    }

    private void beginExit() {
        LOG.log(System.Logger.Level.INFO, "hosted: left active={0}", requests.activeCount());
        requests.endAdmission();
        server.stopListening();
        server.rejectIncomplete();
        long flushedByMillis = clockMillis.getAsLong() + FLUSH_MILLIS + MAX_SLOW_FLUSH_MILLIS;
        loop.schedule(FLUSH_MILLIS, () -> completeOnceSent(flushedByMillis));
    }

    private void completeOnceSent(long latestMillis) {
        server.rejectIncomplete();
        if (server.sendingCount() > 0 && clockMillis.getAsLong() < latestMillis) {
            loop.schedule(SLOW_FLUSH_CHECK_MILLIS, () -> completeOnceSent(latestMillis));
        } else {
            complete();
        }
    }

    /** Logs how the requests stand that the exit aborts, as these get no log line of their own. */
    private void complete() {
        LOG.log(
                System.Logger.Level.INFO,
                "hosted: exits unanswered={0} states={1} receiving={2} sending={3}",
                requests.activeIds(),
                requests.activeStates(),
                server.receivingCount(),
                server.sendingCount());
        completion.complete(null);
    }
}
