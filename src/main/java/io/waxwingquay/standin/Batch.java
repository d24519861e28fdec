package io.waxwingquay.standin;

import io.waxwingquay.engine.ModelEngine.EngineLoad;
import io.waxwingquay.engine.ModelEngine.Generation;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Simulates continuous batching: sequences join and leave the batch between decoding steps. Queued sequences join in
 * order of priority, then of arrival.
 */
public final class Batch {

    /** The number of sequences above which those that have ended are dropped, oldest first. */
    private static final int MAX_RETAINED_SEQUENCES = 20_000;
    /** How often the load is sampled within the reporting lag. */
    private static final int SAMPLES_PER_LAG = 8;
    /** The largest lateness that a following step makes up for. */
    private static final long MAX_CATCH_UP_MICROS = 100_000L;

    private final StandinTimer timer;
    private final CostModel costs;
    private final PrefixCache prefixCache;
    private final Predicate<String> crashTrigger;
    private final Runnable onCrash;
    private final Map<String, Sequence> sequencesById = new LinkedHashMap<>();
    private final PriorityQueue<Sequence> queue = new PriorityQueue<>(Comparator.comparingInt(
                    (Sequence sequence) -> -sequence.generation().priority())
            .thenComparingLong(Sequence::arrivalNumber));
    private final List<Sequence> running = new ArrayList<>();
    private final Deque<LoadSample> loadSamples = new ArrayDeque<>();
    private long startedCount;
    private long epoch;
    private boolean stepInProgress;
    private long stepEndMicros = Long.MIN_VALUE;
    private long tokens;
    private long cachedPromptTokens;
    private long promptTokens;

    Batch(StandinTimer timer, CostModel costs, Predicate<String> crashTrigger, Runnable onCrash) {
        this.timer = timer;
        this.costs = costs;
        this.prefixCache = new PrefixCache(costs.prefixCacheTokens());
        this.crashTrigger = crashTrigger;
        this.onCrash = onCrash;
    }

    /** Queues a generation, or returns the sequence that was already started under its id. */
    synchronized Sequence start(Generation generation) {
        Sequence existing = sequencesById.get(generation.id());
        if (existing != null) {
            return existing;
        }
        Sequence sequence = new Sequence(generation, startedCount++);
        sequencesById.put(generation.id(), sequence);
        queue.add(sequence);
        removeOldestEnded();
        beginStep();
        return sequence;
    }

    synchronized boolean contains(String generationId) {
        return sequencesById.containsKey(generationId);
    }

    void cancel(String generationId) {
        Sequence sequence;
        synchronized (this) {
            sequence = sequencesById.get(generationId);
            if (sequence == null || sequence.isComplete()) {
                return;
            }
            remove(sequence);
        }
        sequence.fail("cancelled");
    }

    /** Fails every queued or running sequence that uses an item evicted from memory. */
    void failSequencesUsing(String item) {
        List<Sequence> affected;
        synchronized (this) {
            affected = Stream.concat(queue.stream(), running.stream())
                    .filter(sequence -> uses(sequence.generation(), item))
                    .toList();
            affected.forEach(this::remove);
        }
        affected.forEach(sequence -> sequence.fail(item + " was evicted"));
    }

    synchronized void reset() {
        epoch++;
        stepInProgress = false;
        stepEndMicros = Long.MIN_VALUE;
        sequencesById.clear();
        queue.clear();
        running.clear();
        prefixCache.clear();
        loadSamples.clear();
    }

    synchronized EngineLoad load() {
        sampleLoad();
        long nowMicros = timer.nowMicros();
        LoadSample reported = loadSamples.getFirst();
        for (LoadSample sample : loadSamples) {
            reported = sample.atMicros() <= nowMicros - costs.loadReportLagMicros() ? sample : reported;
        }
        return reported.asOf(nowMicros);
    }

    synchronized Stats stats() {
        return new Stats(startedCount, tokens, promptTokens, cachedPromptTokens);
    }

    private void beginStep() {
        sampleLoad();
        if (stepInProgress) {
            return;
        }
        double prefillMicros = 0;
        while (running.size() < costs.maxBatch() && !queue.isEmpty()) {
            Sequence joining = queue.poll();
            if (crashTrigger.test(joining.generation().prompt())) {
                onCrash.run();
                return;
            }
            prefillMicros += prefillMicros(joining.generation());
            running.add(joining);
        }
        if (running.isEmpty()) {
            stepEndMicros = Long.MIN_VALUE;
            return;
        }
        stepInProgress = true;
        long stepEpoch = epoch;
        timer.schedule(delayMicros(prefillMicros + costs.stepMicros(running.size())), () -> finishStep(stepEpoch));
    }

    /**
     * Computes the delay until the end of a step. A step begins at the scheduled end of the previous step, not when
     * a busy machine processed that end; otherwise the lateness would accumulate over the steps, and their duration
     * would exceed the one that the cost model states.
     */
    private long delayMicros(double stepMicros) {
        long nowMicros = timer.nowMicros();
        long startMicros = stepEndMicros > nowMicros - MAX_CATCH_UP_MICROS ? stepEndMicros : nowMicros;
        stepEndMicros = startMicros + Math.round(stepMicros);
        return Math.max(0, stepEndMicros - nowMicros);
    }

    private double prefillMicros(Generation generation) {
        int tokenCount = StandinText.promptTokens(generation.prompt());
        int cachedTokens = prefixCache.countCachedAndAdd(generation);
        promptTokens += tokenCount;
        cachedPromptTokens += cachedTokens;
        return costs.prefillMicros(tokenCount, cachedTokens);
    }

    private void finishStep(long stepEpoch) {
        List<Sequence> stepped;
        synchronized (this) {
            if (stepEpoch != epoch) {
                return;
            }
            stepped = List.copyOf(running);
            tokens += stepped.size();
            running.removeIf(sequence -> sequence.remainingTokens() <= 1);
        }
        // No other step may begin until every sequence has its token: it would use the remaining counts from before.
        stepped.forEach(Sequence::produceToken);
        synchronized (this) {
            if (stepEpoch == epoch) {
                stepInProgress = false;
                beginStep();
            }
        }
    }

    private void remove(Sequence sequence) {
        queue.remove(sequence);
        running.remove(sequence);
    }

    private static boolean uses(Generation generation, String item) {
        return generation.model().equals(item)
                || generation.adapter().filter(item::equals).isPresent();
    }

    private void removeOldestEnded() {
        var oldestFirst = sequencesById.values().iterator();
        while (sequencesById.size() > MAX_RETAINED_SEQUENCES && oldestFirst.hasNext()) {
            Sequence oldest = oldestFirst.next();
            if (oldest.isComplete() || oldest.error().isPresent()) {
                oldestFirst.remove();
            }
        }
    }

    private void sampleLoad() {
        long nowMicros = timer.nowMicros();
        boolean recent = !loadSamples.isEmpty()
                && loadSamples.getLast().atMicros() > nowMicros - costs.loadReportLagMicros() / SAMPLES_PER_LAG;
        if (recent) {
            return;
        }
        long remainingTokens = Stream.concat(queue.stream(), running.stream())
                .mapToLong(Sequence::remainingTokens)
                .sum();
        double tokensPerSecond =
                running.isEmpty() ? 0 : running.size() * 1_000_000.0 / costs.stepMicros(running.size());
        loadSamples.addLast(new LoadSample(
                nowMicros, new EngineLoad(running.size(), queue.size(), remainingTokens, tokensPerSecond, 0)));
        while (loadSamples.size() > 2 * SAMPLES_PER_LAG) {
            loadSamples.removeFirst();
        }
    }

    /**
     * The counters of a batch.
     *
     * @param started number of generations started.
     * @param tokens number of tokens generated.
     * @param promptTokens number of prompt tokens processed, cached ones included.
     * @param cachedPromptTokens number of prompt tokens found in the prefix cache.
     */
    public record Stats(long started, long tokens, long promptTokens, long cachedPromptTokens) {}

    private record LoadSample(long atMicros, EngineLoad load) {

        private EngineLoad asOf(long nowMicros) {
            return new EngineLoad(
                    load.running(),
                    load.queued(),
                    load.queuedTokens(),
                    load.tokensPerSecond(),
                    (nowMicros - atMicros) / 1_000L);
        }
    }
}
