package io.waxwingquay.side;

import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.Refusal;
import io.waxwingquay.transport.generated.RefusalReason;
import io.waxwingquay.transport.generated.Submission;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * The bounded queue before the target: highest priority first, then earliest deadline. Safe for concurrent use.
 */
final class Dispatcher {

    private static final Comparator<Attempt> ORDER = Comparator.comparingInt((Attempt attempt) -> -attempt.priority())
            .thenComparingLong(Attempt::deadlineMillis)
            .thenComparing(Attempt::id);

    private final SideContext context;
    private final LoadMeter meter;
    private final IntSupplier maxConcurrent;
    private final AdmissionRule rule;
    private final Consumer<Attempt> runner;
    private final TreeSet<Attempt> ready = new TreeSet<>(ORDER);
    private final Set<Attempt> waiting = new HashSet<>();
    private final Map<Attempt, Long> startedMillis = new HashMap<>();

    Dispatcher(
            SideContext context,
            LoadMeter meter,
            IntSupplier maxConcurrent,
            AdmissionRule rule,
            Consumer<Attempt> runner) {
        this.context = context;
        this.meter = meter;
        this.maxConcurrent = maxConcurrent;
        this.rule = rule;
        this.runner = runner;
    }

    /**
     * Queues an attempt, to be started once what it needs is there.
     *
     * @param attempt the attempt.
     * @param prepared completes when it may start.
     * @return whether there was room.
     */
    boolean add(Attempt attempt, CompletableFuture<Void> prepared) {
        synchronized (this) {
            if (waiting.size() >= context.limits().queueLimit()) {
                return false;
            }
            waiting.add(attempt);
            publishCounts();
        }
        Future<?> timer = context.scheduler()
                .schedule(() -> expire(attempt), attempt.submission().getBudgetMillis(), TimeUnit.MILLISECONDS);
        attempt.ended().thenRun(() -> {
            timer.cancel(false);
            remove(attempt);
        });
        prepared.thenRun(() -> makeReady(attempt));
        return true;
    }

    synchronized int aheadOf(int priority, long deadlineMillis) {
        return (int) waiting.stream()
                .filter(other -> other.priority() > priority
                        || other.priority() == priority && other.deadlineMillis() <= deadlineMillis)
                .count();
    }

    /** Refuses all that has not been handed over. */
    void refuseQueued(Refusal refusal) {
        List<Attempt> unstarted;
        synchronized (this) {
            unstarted = List.copyOf(waiting);
        }
        long nowMillis = context.clock().monotonicMillis();
        unstarted.stream()
                .filter(attempt -> attempt.state() == RequestState.QUEUED)
                .forEach(attempt -> attempt.withdrawWith(refusal, nowMillis));
    }

    private void makeReady(Attempt attempt) {
        synchronized (this) {
            if (!waiting.contains(attempt)) {
                return;
            }
            ready.add(attempt);
        }
        pump();
    }

    private void expire(Attempt attempt) {
        expire(attempt, "the deadline passed in the queue");
    }

    private void expire(Attempt attempt, String message) {
        attempt.withdrawWith(
                meter.refusal(RefusalReason.DEADLINE, message, Execution.DID_NOT_RUN),
                context.clock().monotonicMillis());
    }

    private void remove(Attempt attempt) {
        synchronized (this) {
            waiting.remove(attempt);
            ready.remove(attempt);
            Optional.ofNullable(startedMillis.remove(attempt))
                    .ifPresent(started -> noteFinished(attempt, context.clock().monotonicMillis() - started));
            publishCounts();
        }
        pump();
    }

    private void pump() {
        Optional<Attempt> next = takeNext();
        while (next.isPresent()) {
            runner.accept(next.get());
            next = takeNext();
        }
    }

    private synchronized Optional<Attempt> takeNext() {
        while (startedMillis.size() < maxConcurrent.getAsInt() && !ready.isEmpty()) {
            Attempt first = ready.pollFirst();
            waiting.remove(first);
            if (!mayStart(first)) {
                publishCounts();
                context.scheduler().execute(() -> expire(first, "too little time is left to finish"));
            } else if (first.start()) {
                startedMillis.put(first, context.clock().monotonicMillis());
                publishCounts();
                return Optional.of(first);
            }
        }
        return Optional.empty();
    }

    private boolean mayStart(Attempt attempt) {
        long budgetMillis = attempt.deadlineMillis() - context.clock().monotonicMillis();
        double runMillis = runMillis(meter, attempt.submission());
        return rule.mayStart(new AdmissionRule.Estimate(0, runMillis, budgetMillis, startedMillis.size()));
    }

    /** How long a submission would run; 0 for a plain call, whose time does not follow from its size. */
    static double runMillis(LoadMeter meter, Submission submission) {
        return submission.isSetModel() ? meter.runMillis(submission.getModel().getMaxTokens()) : 0.0;
    }

    private void noteFinished(Attempt attempt, long runMillis) {
        meter.noteFinished(runMillis);
        meter.noteUnits(runMillis, attempt.units());
    }

    private void publishCounts() {
        long tokens = waiting.stream()
                .filter(attempt -> attempt.submission().isSetModel())
                .mapToLong(attempt -> attempt.submission().getModel().getMaxTokens())
                .sum();
        meter.set(new LoadMeter.Counts(startedMillis.size(), waiting.size(), tokens, maxConcurrent.getAsInt()));
    }
}
