package io.waxwingquay.standin;

import io.waxwingquay.engine.ModelEngine.Generation;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The progress of one generation in an engine. Its text is derived from the generation and the offset of a token, so
 * only the number of produced tokens is stored.
 */
final class Sequence {

    private final Generation generation;
    private final long arrivalNumber;
    private final long seed;
    private final List<Runnable> listeners = new ArrayList<>();
    private long producedTokens;
    private Optional<String> error = Optional.empty();

    Sequence(Generation generation, long arrivalNumber) {
        this.generation = generation;
        this.arrivalNumber = arrivalNumber;
        this.seed = StandinText.seed(generation);
    }

    Generation generation() {
        return generation;
    }

    long arrivalNumber() {
        return arrivalNumber;
    }

    synchronized long producedTokens() {
        return producedTokens;
    }

    synchronized long remainingTokens() {
        return generation.maxTokens() - producedTokens;
    }

    synchronized boolean isComplete() {
        return producedTokens >= generation.maxTokens();
    }

    synchronized Optional<String> error() {
        return error;
    }

    String tokenText(long offset) {
        return StandinText.tokenOf(seed, offset);
    }

    /** Adds a listener, and runs it immediately and whenever the sequence produces a token or fails. */
    void addListener(Runnable listener) {
        synchronized (this) {
            listeners.add(listener);
        }
        listener.run();
    }

    synchronized void removeListener(Runnable listener) {
        listeners.remove(listener);
    }

    void produceToken() {
        synchronized (this) {
            producedTokens++;
        }
        notifyListeners();
    }

    void fail(String reason) {
        synchronized (this) {
            error = Optional.of(reason);
        }
        notifyListeners();
    }

    private void notifyListeners() {
        List<Runnable> notified;
        synchronized (this) {
            notified = List.copyOf(listeners);
        }
        notified.forEach(Runnable::run);
    }
}
