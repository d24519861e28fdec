package io.waxwingquay.standin;

import io.waxwingquay.engine.ModelEngine.Generation;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One generation in an engine. Its text is computed, so a finished one keeps only its length.
 */
final class Sequence {

    private final Generation generation;
    private final long arrival;
    private final long seed;
    private final List<Runnable> watchers = new ArrayList<>();
    private long produced;
    private Optional<String> error = Optional.empty();

    Sequence(Generation generation, long arrival) {
        this.generation = generation;
        this.arrival = arrival;
        this.seed = StandinText.seed(generation);
    }

    Generation generation() {
        return generation;
    }

    long arrival() {
        return arrival;
    }

    synchronized long produced() {
        return produced;
    }

    synchronized long remaining() {
        return generation.maxTokens() - produced;
    }

    synchronized boolean whole() {
        return produced >= generation.maxTokens();
    }

    synchronized Optional<String> error() {
        return error;
    }

    String text(long offset) {
        return StandinText.tokenOf(seed, offset);
    }

    /** Runs a step now and whenever the sequence moves on. */
    void watch(Runnable step) {
        synchronized (this) {
            watchers.add(step);
        }
        step.run();
    }

    synchronized void unwatch(Runnable step) {
        watchers.remove(step);
    }

    void produceOne() {
        synchronized (this) {
            produced++;
        }
        tell();
    }

    void fail(String reason) {
        synchronized (this) {
            error = Optional.of(reason);
        }
        tell();
    }

    private void tell() {
        List<Runnable> steps;
        synchronized (this) {
            steps = List.copyOf(watchers);
        }
        steps.forEach(Runnable::run);
    }
}
