package io.waxwingquay.side;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * What a side does again and again: the order loop, forgetting the old, cancelling the abandoned, publishing.
 */
final class Housekeeping {

    private static final System.Logger LOG = System.getLogger("waxwingquay.side");

    private final SideContext context;
    private final AttemptBook book;
    private final SelfRecord self;
    private final Optional<ResidencyLoop> residency;
    private final Runnable watch;
    private Optional<ScheduledFuture<?>> next = Optional.empty();
    private boolean closed;

    Housekeeping(
            SideContext context, AttemptBook book, SelfRecord self, Optional<ResidencyLoop> residency, Runnable watch) {
        this.watch = watch;
        this.context = context;
        this.book = book;
        this.self = self;
        this.residency = residency;
    }

    /** Runs now, and from then on again and again. */
    synchronized void wake() {
        next.ifPresent(scheduled -> scheduled.cancel(false));
        schedule(0L);
    }

    synchronized void close() {
        closed = true;
        next.ifPresent(scheduled -> scheduled.cancel(false));
    }

    /** One round. */
    CompletableFuture<Void> round() {
        CompletableFuture<Void> read =
                residency.map(ResidencyLoop::tick).orElse(CompletableFuture.completedFuture(null));
        return read.thenRun(this::tidy);
    }

    /**
     * An entry that died leaves attempts that nobody polls. They would hold the target until their end, so
     * they are cancelled; a plain call that may have run already is left to end by itself.
     */
    private void tidy() {
        long nowMillis = context.clock().monotonicMillis();
        book.purge();
        watch.run();
        for (Attempt attempt : book.all()) {
            boolean cancellable = attempt.state() == RequestState.QUEUED
                    || attempt.submission().isSetModel();
            if (cancellable && attempt.isUnpolledSince(context.limits().unpolledLimitMillis(), nowMillis)) {
                context.count(
                        "waxwingquay.side.abandoned", "side", context.identity().sideId());
                attempt.cancel(nowMillis);
            }
            if (attempt.isEndedSince(context.limits().answerRetentionMillis(), nowMillis)
                    && !attempt.isNonIdempotent()) {
                attempt.release();
            }
        }
        if (residency.map(loop -> loop.lastReadMillis().isPresent()).orElse(true)
                && context.service().isPresent()) {
            self.on(SideEvent.READY);
        } else {
            self.publish();
        }
    }

    private void runAndSchedule() {
        round().whenComplete((ignored, failure) -> {
            if (failure != null) {
                LOG.log(System.Logger.Level.ERROR, "side: housekeeping failed, going on.", failure);
            }
            boolean awaited = residency.filter(ResidencyLoop::isAdapterAwaited).isPresent();
            synchronized (this) {
                next.ifPresent(scheduled -> scheduled.cancel(false));
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
            next = Optional.of(context.scheduler().schedule(this::runAndSchedule, delayMillis, TimeUnit.MILLISECONDS));
        } catch (RejectedExecutionException stopped) {
            closed = true;
        }
    }
}
