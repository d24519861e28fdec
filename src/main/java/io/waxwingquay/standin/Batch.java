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
 * An engine's continuous batch: sequences join and leave between steps, a higher priority first.
 */
public final class Batch {

    private static final int MAX_KNOWN = 20_000;
    private static final int REPORTS_PER_LAG = 8;
    private static final long MAX_LATE_MICROS = 100_000L;

    private final StandinTimer timer;
    private final CostModel costs;
    private final PrefixCache prefixes;
    private final Predicate<String> crashesOn;
    private final Runnable crash;
    private final Map<String, Sequence> known = new LinkedHashMap<>();
    private final PriorityQueue<Sequence> queue = new PriorityQueue<>(Comparator.comparingInt(
                    (Sequence sequence) -> -sequence.generation().priority())
            .thenComparingLong(Sequence::arrival));
    private final List<Sequence> running = new ArrayList<>();
    private final Deque<Report> reports = new ArrayDeque<>();
    private long arrivals;
    private long epoch;
    private boolean stepping;
    private long dueMicros = Long.MIN_VALUE;
    private long tokens;
    private long cachedPromptTokens;
    private long promptTokens;

    Batch(StandinTimer timer, CostModel costs, Predicate<String> crashesOn, Runnable crash) {
        this.timer = timer;
        this.costs = costs;
        this.prefixes = new PrefixCache(costs.prefixCacheTokens());
        this.crashesOn = crashesOn;
        this.crash = crash;
    }

    /** Starts a generation, or finds the one that was started under its id. */
    synchronized Sequence start(Generation generation) {
        Sequence present = known.get(generation.id());
        if (present != null) {
            return present;
        }
        Sequence sequence = new Sequence(generation, arrivals++);
        known.put(generation.id(), sequence);
        queue.add(sequence);
        forgetOldest();
        beginStep();
        return sequence;
    }

    synchronized boolean knows(String generationId) {
        return known.containsKey(generationId);
    }

    void cancel(String generationId) {
        Sequence sequence;
        synchronized (this) {
            sequence = known.get(generationId);
            if (sequence == null || sequence.whole()) {
                return;
            }
            remove(sequence);
        }
        sequence.fail("cancelled");
    }

    /** Ends what runs on an item that has left memory. */
    void end(String item) {
        List<Sequence> ended;
        synchronized (this) {
            ended = Stream.concat(queue.stream(), running.stream())
                    .filter(sequence -> uses(sequence.generation(), item))
                    .toList();
            ended.forEach(this::remove);
        }
        ended.forEach(sequence -> sequence.fail(item + " was evicted"));
    }

    synchronized void reset() {
        epoch++;
        stepping = false;
        dueMicros = Long.MIN_VALUE;
        known.clear();
        queue.clear();
        running.clear();
        prefixes.clear();
        reports.clear();
    }

    synchronized EngineLoad load() {
        report();
        long nowMicros = timer.nowMicros();
        Report shown = reports.getFirst();
        for (Report report : reports) {
            shown = report.atMicros() <= nowMicros - costs.loadReportLagMicros() ? report : shown;
        }
        return shown.asOf(nowMicros);
    }

    synchronized Stats stats() {
        return new Stats(arrivals, tokens, promptTokens, cachedPromptTokens);
    }

    private void beginStep() {
        report();
        if (stepping) {
            return;
        }
        double prefillMicros = 0;
        while (running.size() < costs.maxBatch() && !queue.isEmpty()) {
            Sequence joining = queue.poll();
            if (crashesOn.test(joining.generation().prompt())) {
                crash.run();
                return;
            }
            prefillMicros += prefill(joining.generation());
            running.add(joining);
        }
        if (running.isEmpty()) {
            dueMicros = Long.MIN_VALUE;
            return;
        }
        stepping = true;
        long stepEpoch = epoch;
        timer.schedule(delayMicros(prefillMicros + costs.stepMicros(running.size())), () -> finishStep(stepEpoch));
    }

    /**
     * The time to the end of a step. A step follows the due end of the one before, not the instant a busy machine
     * got round to it; else the machine's lateness would add to every step and the costs would not be those stated.
     */
    private long delayMicros(double stepMicros) {
        long nowMicros = timer.nowMicros();
        long startMicros = dueMicros > nowMicros - MAX_LATE_MICROS ? dueMicros : nowMicros;
        dueMicros = startMicros + Math.round(stepMicros);
        return Math.max(0, dueMicros - nowMicros);
    }

    private double prefill(Generation generation) {
        int prompt = StandinText.promptTokens(generation.prompt());
        int cached = prefixes.take(generation);
        promptTokens += prompt;
        cachedPromptTokens += cached;
        return costs.prefillMicros(prompt, cached);
    }

    private void finishStep(long stepEpoch) {
        List<Sequence> stepped;
        synchronized (this) {
            if (stepEpoch != epoch) {
                return;
            }
            stepped = List.copyOf(running);
            tokens += stepped.size();
            running.removeIf(sequence -> sequence.remaining() <= 1);
        }
        // Until all have their token no other step may begin: it would count from the tokens left before this one.
        stepped.forEach(Sequence::produceOne);
        synchronized (this) {
            if (stepEpoch == epoch) {
                stepping = false;
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

    private void forgetOldest() {
        var oldestFirst = known.values().iterator();
        while (known.size() > MAX_KNOWN && oldestFirst.hasNext()) {
            Sequence oldest = oldestFirst.next();
            if (oldest.whole() || oldest.error().isPresent()) {
                oldestFirst.remove();
            }
        }
    }

    private void report() {
        long nowMicros = timer.nowMicros();
        boolean recent = !reports.isEmpty()
                && reports.getLast().atMicros() > nowMicros - costs.loadReportLagMicros() / REPORTS_PER_LAG;
        if (recent) {
            return;
        }
        long left = Stream.concat(queue.stream(), running.stream())
                .mapToLong(Sequence::remaining)
                .sum();
        double speed = running.isEmpty() ? 0 : running.size() * 1_000_000.0 / costs.stepMicros(running.size());
        reports.addLast(new Report(nowMicros, new EngineLoad(running.size(), queue.size(), left, speed, 0)));
        while (reports.size() > 2 * REPORTS_PER_LAG) {
            reports.removeFirst();
        }
    }

    /**
     * The recorded counts.
     *
     * @param started generations started.
     * @param tokens tokens generated.
     * @param promptTokens prompt tokens read.
     * @param cachedPromptTokens prompt tokens found in the prefix cache.
     */
    public record Stats(long started, long tokens, long promptTokens, long cachedPromptTokens) {}

    private record Report(long atMicros, EngineLoad load) {

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
