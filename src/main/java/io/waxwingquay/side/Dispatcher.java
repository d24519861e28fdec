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
 * The bounded queue in front of the target, ordered by highest priority and then by earliest deadline. Safe for
 * concurrent use.
 */
final class Dispatcher {

    private static final Comparator<Attempt> ORDER = Comparator.comparingInt((Attempt attempt) -> -attempt.priority())
            .thenComparingLong(Attempt::deadlineMillis)
            .thenComparing(Attempt::id);

    private final SideContext context;
    private final LoadMeter loadMeter;
    private final IntSupplier maxConcurrent;
    private final AdmissionRule rule;
    private final Consumer<Attempt> runner;
    private final TreeSet<Attempt> ready = new TreeSet<>(ORDER);
    private final Set<Attempt> queued = new HashSet<>();
    private final Map<Attempt, Long> startedMillis = new HashMap<>();

    Dispatcher(
            SideContext context,
            LoadMeter loadMeter,
            IntSupplier maxConcurrent,
            AdmissionRule rule,
            Consumer<Attempt> runner) {
        this.context = context;
        this.loadMeter = loadMeter;
        this.maxConcurrent = maxConcurrent;
        this.rule = rule;
        this.runner = runner;
    }

    /**
     * Queues an attempt, which starts once it is prepared and a slot is free.
     *
     * @param attempt the attempt.
     * @param prepared completes when the attempt may start.
     * @return whether the queue had room.
     */
    boolean enqueue(Attempt attempt, CompletableFuture<Void> prepared) {
        synchronized (this) {
            if (queued.size() >= context.limits().queueLimit()) {
                return false;
            }
            queued.add(attempt);
            publishCounts();
        }
        Future<?> timer = context.scheduler()
                .schedule(() -> expire(attempt), attempt.submission().getBudgetMillis(), TimeUnit.MILLISECONDS);
        attempt.whenEnded().thenRun(() -> {
            timer.cancel(false);
            remove(attempt);
        });
        prepared.thenRun(() -> markReady(attempt));
        return true;
    }

    /** Counts the queued attempts that start before one of the given priority and deadline. */
    synchronized int queuedAhead(int priority, long deadlineMillis) {
        return (int) queued.stream()
                .filter(other -> other.priority() > priority
                        || other.priority() == priority && other.deadlineMillis() <= deadlineMillis)
                .count();
    }

    /** Rejects all attempts that have not been sent to the target. */
    void rejectQueued(Refusal refusal) {
        List<Attempt> candidates;
        synchronized (this) {
            candidates = List.copyOf(queued);
        }
        long nowMillis = context.clock().monotonicMillis();
        candidates.stream()
                .filter(attempt -> attempt.state() == RequestState.QUEUED)
                .forEach(attempt -> attempt.rejectIfQueued(refusal, nowMillis));
    }

    private void markReady(Attempt attempt) {
        synchronized (this) {
            if (!queued.contains(attempt)) {
                return;
            }
            ready.add(attempt);
        }
        runReady();
    }

    private void expire(Attempt attempt) {
        expire(attempt, "the deadline passed while the request was queued");
    }

    private void expire(Attempt attempt, String message) {
        attempt.rejectIfQueued(
                loadMeter.refusal(RefusalReason.DEADLINE, message, Execution.DID_NOT_RUN),
                context.clock().monotonicMillis());
    }

    private void remove(Attempt attempt) {
        synchronized (this) {
            queued.remove(attempt);
            ready.remove(attempt);
            Optional.ofNullable(startedMillis.remove(attempt))
                    .ifPresent(started -> recordRun(attempt, context.clock().monotonicMillis() - started));
            publishCounts();
        }
        runReady();
    }

    private void runReady() {
        Optional<Attempt> next = startNext();
        while (next.isPresent()) {
            runner.accept(next.get());
            next = startNext();
        }
    }

    private synchronized Optional<Attempt> startNext() {
        while (startedMillis.size() < maxConcurrent.getAsInt() && !ready.isEmpty()) {
            Attempt first = ready.pollFirst();
            queued.remove(first);
            if (!mayStart(first)) {
                publishCounts();
                context.scheduler()
                        .execute(() -> expire(first, "too little time remains to finish before the deadline"));
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
        double runMillis = estimatedRunMillis(loadMeter, attempt.submission());
        return rule.mayStart(new AdmissionRule.Estimate(0, runMillis, budgetMillis, startedMillis.size()));
    }

    /** Estimates the run time of a submission; 0 for a plain call, whose run time cannot be derived from its size. */
    static double estimatedRunMillis(LoadMeter loadMeter, Submission submission) {
        return submission.isSetModel()
                ? loadMeter.estimatedRunMillis(submission.getModel().getMaxTokens())
                : 0.0;
    }

    private void recordRun(Attempt attempt, long runMillis) {
        loadMeter.recordRun(runMillis);
        loadMeter.recordUnits(runMillis, attempt.units());
    }

    private void publishCounts() {
        long tokens = queued.stream()
                .filter(attempt -> attempt.submission().isSetModel())
                .mapToLong(attempt -> attempt.submission().getModel().getMaxTokens())
                .sum();
        loadMeter.setCounts(
                new LoadMeter.Counts(startedMillis.size(), queued.size(), tokens, maxConcurrent.getAsInt()));
    }
}
