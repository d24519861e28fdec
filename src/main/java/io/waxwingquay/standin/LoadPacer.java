package io.waxwingquay.standin;

import java.util.concurrent.CompletableFuture;
import java.util.function.ToLongFunction;

/**
 * Simulates the rate and concurrency limits of loads: starts are spaced according to the rate, and a load that exceeds
 * the concurrency limit when it starts takes proportionally longer.
 */
public final class LoadPacer {

    private static final double MICROS_PER_SECOND = 1_000_000.0;

    private final StandinTimer timer;
    private final int concurrencyLimit;
    private final long startIntervalMicros;
    private final ToLongFunction<String> loadMicros;
    private final RateCounter starts;
    private long nextStartMicros;
    private int inFlight;
    private int maxInFlight;
    private long overLimit;

    LoadPacer(StandinTimer timer, int concurrencyLimit, double startsPerSecond, ToLongFunction<String> loadMicros) {
        this.timer = timer;
        this.concurrencyLimit = concurrencyLimit;
        this.startIntervalMicros = Math.round(MICROS_PER_SECOND / startsPerSecond);
        this.loadMicros = loadMicros;
        this.starts = new RateCounter(timer);
        this.nextStartMicros = timer.nowMicros();
    }

    synchronized CompletableFuture<Void> load(String item) {
        long nowMicros = timer.nowMicros();
        long startMicros = Math.max(nowMicros, nextStartMicros);
        nextStartMicros = startMicros + startIntervalMicros;
        CompletableFuture<Void> done = new CompletableFuture<>();
        if (startMicros == nowMicros) {
            start(item, done);
        } else {
            timer.schedule(startMicros - nowMicros, () -> start(item, done));
        }
        return done;
    }

    private synchronized void start(String item, CompletableFuture<Void> done) {
        starts.add(1);
        inFlight++;
        maxInFlight = Math.max(maxInFlight, inFlight);
        if (inFlight > concurrencyLimit) {
            overLimit++;
        }
        double slowdown = Math.max(1.0, (double) inFlight / concurrencyLimit);
        timer.schedule(Math.round(loadMicros.applyAsLong(item) * slowdown), () -> finish(done));
    }

    private void finish(CompletableFuture<Void> done) {
        synchronized (this) {
            inFlight--;
        }
        done.complete(null);
    }

    synchronized Stats stats() {
        return new Stats(starts.count(), maxInFlight, overLimit);
    }

    /**
     * The counters of loads.
     *
     * @param starts number of loads started.
     * @param maxInFlight maximum number of loads in flight at once.
     * @param overLimit number of loads that exceeded the concurrency limit when they started.
     */
    public record Stats(RateCounter.Count starts, int maxInFlight, long overLimit) {}
}
