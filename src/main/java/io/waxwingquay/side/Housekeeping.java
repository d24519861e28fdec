package io.waxwingquay.side;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs the periodic work of a side: the order loop, expiry of attempts, cancellation of abandoned ones, and publishing.
 */
final class Housekeeping {

    private static final System.Logger LOG = System.getLogger("waxwingquay.side");

    private final SideContext context;
    private final AttemptRegistry attempts;
    private final SideRecordPublisher recordPublisher;
    private final Optional<ResidencyLoop> residencyLoop;
    private final Runnable streamCheck;
    private Optional<ScheduledFuture<?>> nextRun = Optional.empty();
    private boolean closed;

    Housekeeping(
            SideContext context,
            AttemptRegistry attempts,
            SideRecordPublisher recordPublisher,
            Optional<ResidencyLoop> residencyLoop,
            Runnable streamCheck) {
        this.streamCheck = streamCheck;
        this.context = context;
        this.attempts = attempts;
        this.recordPublisher = recordPublisher;
        this.residencyLoop = residencyLoop;
    }

    /** Runs now, and periodically from then on. */
    synchronized void runNow() {
        nextRun.ifPresent(scheduled -> scheduled.cancel(false));
        schedule(0L);
    }

    synchronized void close() {
        closed = true;
        nextRun.ifPresent(scheduled -> scheduled.cancel(false));
    }

    /** Runs the order loop and then the cleanup, once. */
    CompletableFuture<Void> runOnce() {
        CompletableFuture<Void> residencyRead =
                residencyLoop.map(ResidencyLoop::tick).orElse(CompletableFuture.completedFuture(null));
        return residencyRead.thenRun(this::cleanUp);
    }

    /**
     * Cleans up attempts and publishes the side. When an entry dies, nobody polls its attempts any more. They would
     * occupy the target until their end, so they are cancelled; a plain call that may already have run is left to end
     * by itself.
     */
    private void cleanUp() {
        long nowMillis = context.clock().monotonicMillis();
        attempts.removeExpired();
        streamCheck.run();
        for (Attempt attempt : attempts.all()) {
            boolean cancellable = attempt.state() == RequestState.QUEUED
                    || attempt.submission().isSetModel();
            if (cancellable && attempt.isUnpolledFor(context.limits().unpolledLimitMillis(), nowMillis)) {
                context.count(
                        "waxwingquay.side.abandoned", "side", context.identity().sideId());
                attempt.cancel(nowMillis);
            }
            if (attempt.isEndedFor(context.limits().answerRetentionMillis(), nowMillis) && !attempt.isNonIdempotent()) {
                attempt.releaseAnswer();
            }
        }
        if (residencyLoop.map(loop -> loop.lastReadMillis().isPresent()).orElse(true)
                && context.service().isPresent()) {
            recordPublisher.handle(SideEvent.READY);
        } else {
            recordPublisher.publish();
        }
    }

    private void runAndSchedule() {
        runOnce().whenComplete((ignored, failure) -> {
            if (failure != null) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "side: housekeeping failed; it runs again after its interval.",
                        failure);
            }
            boolean awaited =
                    residencyLoop.filter(ResidencyLoop::isAwaitingAdapter).isPresent();
            synchronized (this) {
                nextRun.ifPresent(scheduled -> scheduled.cancel(false));
                schedule(
                        awaited
                                ? context.limits().adapterTickIntervalMillis()
                                : context.limits().tickIntervalMillis());
            }
        });
    }

    private void schedule(long delayMillis) {
        if (closed) {
            return;
        }
        try {
            nextRun =
                    Optional.of(context.scheduler().schedule(this::runAndSchedule, delayMillis, TimeUnit.MILLISECONDS));
        } catch (RejectedExecutionException stopped) {
            closed = true;
        }
    }
}
