package io.waxwingquay.bench;

import io.waxwingquay.bench.Caller.Completion;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import io.waxwingquay.engine.HttpModelEngine;
import io.waxwingquay.engine.ModelEngine;
import io.waxwingquay.engine.ModelEngine.Generation;
import io.waxwingquay.engine.TargetException;
import io.waxwingquay.standin.CostModel;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.HttpClient;

/**
 * Measures the latency that entry and side add to a direct call of the engine. Requests alternate between both paths at
 * the same rate and reach the same stand-in, which generates one token every 20 ms.
 *
 * @param ratesPerSecond the rates to measure, in requests a second of both paths together.
 * @param secondsPerRate duration of the load at each rate.
 */
public record Overhead(List<Integer> ratesPerSecond, int secondsPerRate) {

    private static final String BUNDLE = "/bench/overhead.toml";
    private static final String MODEL = "throwing";
    private static final String ENGINE = "studio-0";
    private static final int TOKENS = 16;
    private static final int MAX_BATCH = 256;
    private static final int MAX_CONNECTIONS = 1_024;
    private static final long TIMEOUT_MILLIS = 5_000L;
    private static final long SERVING_TIMEOUT_MILLIS = 20_000L;
    private static final long DRAIN_TIMEOUT_SECONDS = 10L;
    private static final CostModel ENGINE_COSTS =
            new CostModel(0, 0, 20_000, 0, MAX_BATCH, 65_536, 50_000, 500_000, 250_000);
    private static final double MICROS_PER_MILLI = 1_000.0;

    /**
     * Runs the benchmark and prints a table.
     *
     * @param out receives the table.
     * @throws IOException if the bundle cannot be read.
     * @throws InterruptedException if a wait is interrupted.
     */
    public void run(PrintWriter out) throws IOException, InterruptedException {
        try (LocalDeployment deployment = LocalDeployment.builder(readBundle())
                        .entries(1)
                        .costs(ENGINE_COSTS)
                        .start();
                Caller caller = new Caller()) {
            deployment.awaitServing(SERVING_TIMEOUT_MILLIS);
            RequestPaths paths = new RequestPaths(deployment, caller);
            measure(paths, ratesPerSecond.get(0));
            out.println("requests/s  direct p50 ms  p99 ms  through p50 ms  p99 ms  ratio p50  ratio p99  failed");
            for (int rate : ratesPerSecond) {
                out.println(measure(paths, rate).toRow(rate));
                out.flush();
            }
            paths.close();
        }
    }

    private Latencies measure(RequestPaths paths, int ratePerSecond) throws InterruptedException {
        Latencies latencies = new Latencies();
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        long startNanos = System.nanoTime();
        long count = (long) ratePerSecond * secondsPerRate;
        for (long number = 0; number < count; number++) {
            sleepUntil(startNanos + number * TimeUnit.SECONDS.toNanos(1) / ratePerSecond);
            answers.add(
                    number % 2 == 0
                            ? paths.sendDirectly(number, latencies)
                            : paths.sendThroughEntry(number, latencies));
        }
        try {
            CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                    .get(DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException unanswered) {
            latencies.failed.addAndGet(
                    answers.stream().filter(answer -> !answer.isDone()).count());
        }
        return latencies;
    }

    private static void sleepUntil(long dueNanos) {
        long remainingNanos = dueNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = dueNanos - System.nanoTime();
        }
    }

    private static byte[] readBundle() throws IOException {
        try (InputStream stream = Overhead.class.getResourceAsStream(BUNDLE)) {
            return stream.readAllBytes();
        }
    }

    private static final class Latencies {

        private final Histogram directMicros = new Histogram(3);
        private final Histogram proxiedMicros = new Histogram(3);
        private final AtomicLong failed = new AtomicLong();

        private synchronized void record(Histogram histogram, long micros) {
            histogram.recordValue(micros);
        }

        private synchronized String toRow(int ratePerSecond) {
            double[] directMillis = {percentileMillis(directMicros, 50), percentileMillis(directMicros, 99)};
            double[] proxiedMillis = {percentileMillis(proxiedMicros, 50), percentileMillis(proxiedMicros, 99)};
            return String.format(
                    "%10d  %13.1f  %6.1f  %14.1f  %6.1f  %9.3f  %9.3f  %6d",
                    ratePerSecond,
                    directMillis[0],
                    directMillis[1],
                    proxiedMillis[0],
                    proxiedMillis[1],
                    proxiedMillis[0] / directMillis[0],
                    proxiedMillis[1] / directMillis[1],
                    failed.get());
        }

        private static double percentileMillis(Histogram histogram, double percentile) {
            return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
        }
    }

    private static final class RequestPaths implements AutoCloseable {

        private final HttpClient client = HttpCalls.startClient(MAX_CONNECTIONS, TIMEOUT_MILLIS);
        private final Caller caller;
        private final HostPort entry;
        private final ModelEngine engine;
        private final String item;
        private final AtomicLong ids = new AtomicLong();

        private RequestPaths(LocalDeployment deployment, Caller caller) {
            this.caller = caller;
            this.entry = deployment.entries().get(0).callerAddress();
            this.engine =
                    new HttpModelEngine(client, deployment.targets().address(ENGINE), TIMEOUT_MILLIS, TIMEOUT_MILLIS);
            this.item = deployment.bundle().models().get(0).item();
        }

        private CompletableFuture<Void> sendThroughEntry(long number, Latencies latencies) {
            Completion completion =
                    new Completion(MODEL, Optional.empty(), "through " + number, TOKENS, 0, TIMEOUT_MILLIS);
            return caller.complete(entry, completion).thenAccept(answer -> {
                if (answer.isWhole()) {
                    latencies.record(latencies.proxiedMicros, answer.totalMicros());
                } else {
                    latencies.failed.incrementAndGet();
                }
            });
        }

        private CompletableFuture<Void> sendDirectly(long number, Latencies latencies) {
            String id = "direct-" + ids.incrementAndGet();
            CompletableFuture<Void> done = new CompletableFuture<>();
            long startNanos = System.nanoTime();
            Generation generation = new Generation(id, item, Optional.empty(), "direct " + number, TOKENS, 0);
            engine.stream(generation, 0, new ModelEngine.Listener() {

                /** {@inheritDoc} */
                @Override
                public void onToken(long offset, String text) {
                    // Only the time to the end is measured.
                }

                /** {@inheritDoc} */
                @Override
                public void onEnd(OptionalLong totalTokens, Optional<TargetException> failure) {
                    if (totalTokens.isPresent()) {
                        long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
                        latencies.record(latencies.directMicros, micros);
                    } else {
                        latencies.failed.incrementAndGet();
                    }
                    done.complete(null);
                }
            });
            return done;
        }

        /** {@inheritDoc} */
        @Override
        public void close() {
            try {
                client.stop();
            } catch (Exception failure) {
                throw new IllegalStateException("the HTTP client of the overhead benchmark did not stop", failure);
            }
        }
    }
}
