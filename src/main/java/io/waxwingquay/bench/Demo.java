package io.waxwingquay.bench;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.BundleAcceptance;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.standin.ModelEngineStandin;
import io.waxwingquay.standin.PlainServiceStandin;
import io.waxwingquay.standin.StandinText;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * Runs a short load through a whole deployment in one JVM: stand-ins, two entries, four sides and a signed bundle. It
 * checks every answer and prints a summary.
 */
public final class Demo {

    private static final String BUNDLE = "/demo/bundle.toml";
    private static final long READY_TIMEOUT_MILLIS = 60_000L;
    private static final int COMPLETIONS = 200;
    private static final int DEPOSITS = 40;
    private static final int CONCURRENT_REQUESTS = 20;
    private static final int TOKENS = 12;
    private static final long DEADLINE_MILLIS = 10_000L;
    private static final double TIME_SCALE = 0.2;
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double MEDIAN_PERCENTILE = 50.0;
    private static final double TAIL_PERCENTILE = 99.0;

    private final PrintWriter out;
    private final Histogram firstTokenMicros = new Histogram(3);
    private int correct;
    private int incorrect;
    private int failed;

    /**
     * Creates a demo.
     *
     * @param out receives the summary.
     */
    public Demo(PrintWriter out) {
        this.out = out;
    }

    /**
     * Runs the demo.
     *
     * @return whether every answer was complete and correct, no deposit ran twice, no accelerator memory was
     *     overcommitted and the second bundle came into force everywhere.
     * @throws IOException if the demo's bundle cannot be read.
     * @throws InterruptedException if a wait is interrupted.
     */
    public boolean run() throws IOException, InterruptedException {
        byte[] document = readBundle();
        try (LocalDeployment deployment =
                        LocalDeployment.builder(document).timeScale(TIME_SCALE).start();
                Caller caller = new Caller()) {
            out.println("Started a platform, a weight store, 3 model engines and a plain service as stand-ins;");
            out.println("2 entries and 4 sides; bundle 1 signed and accepted.");
            if (!deployment.awaitServing(READY_TIMEOUT_MILLIS)) {
                out.println("Not every model was served in time: "
                        + deployment.unservedModels(deployment.entries().get(0)));
                return false;
            }
            runCompletions(deployment, caller);
            boolean depositsRanOnce = payDeposits(deployment, caller);
            boolean withinMemory = summarise(deployment);
            boolean rolledOut = rollOut(deployment, document);
            out.flush();
            return failed == 0 && incorrect == 0 && depositsRanOnce && withinMemory && rolledOut;
        }
    }

    private void runCompletions(LocalDeployment deployment, Caller caller) {
        for (int firstNumber = 0; firstNumber < COMPLETIONS; firstNumber += CONCURRENT_REQUESTS) {
            List<CompletableFuture<Void>> batch = IntStream.range(firstNumber, firstNumber + CONCURRENT_REQUESTS)
                    .mapToObj(number -> runCompletion(deployment, caller, number))
                    .toList();
            batch.forEach(CompletableFuture::join);
        }
    }

    private CompletableFuture<Void> runCompletion(LocalDeployment deployment, Caller caller, int number) {
        List<Bundle.Model> models = deployment.bundle().models();
        Bundle.Model bundleModel = models.get(number % models.size());
        String model = bundleModel.name();
        Optional<String> adapter = "glazing".equals(model) ? Optional.of("kingston") : Optional.empty();
        String prompt = "student " + number + " asks about the evening class";
        Caller.Completion completion =
                new Caller.Completion(model, adapter, prompt, TOKENS, number % 3, DEADLINE_MILLIS);
        Optional<String> adapterItem = adapter.flatMap(
                        name -> deployment.bundle().adapter(model, name))
                .map(Bundle.Adapter::item);
        String expected = StandinText.answer(bundleModel.item(), adapterItem, prompt, TOKENS);
        return caller.complete(entry(deployment, number), completion)
                .thenAccept(answer -> recordAnswer(answer, expected));
    }

    private synchronized void recordAnswer(CallerAnswer answer, String expected) {
        if (!answer.isWhole()) {
            failed++;
            out.println(
                    "  not answered: " + answer.error().map(Object::toString).orElse("status " + answer.statusCode()));
            return;
        }
        answer.firstTokenMicros().ifPresent(firstTokenMicros::recordValue);
        if (answer.text().equals(expected)) {
            correct++;
        } else {
            incorrect++;
        }
    }

    /** Pays each deposit through one entry and resends it through the other. */
    private boolean payDeposits(LocalDeployment deployment, Caller caller) {
        List<CompletableFuture<Boolean>> replays = new ArrayList<>();
        for (int number = 0; number < DEPOSITS; number++) {
            replays.add(payTwice(deployment, caller, number));
        }
        long replayed = replays.stream().filter(CompletableFuture::join).count();
        PlainServiceStandin booking = deployment.targets().plainServices().get("booking-0");
        int maxRuns = booking.stats().runsByKey().values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
        out.printf("Deposits: %d paid, each sent twice through different entries; ", DEPOSITS);
        out.printf("%d resends got the first answer; most runs of one key: %d.%n", replayed, maxRuns);
        return replayed == DEPOSITS && maxRuns == 1;
    }

    private CompletableFuture<Boolean> payTwice(LocalDeployment deployment, Caller caller, int number) {
        Caller.ServiceCall call = new Caller.ServiceCall(
                "booking",
                "pay-deposit",
                Optional.of("deposit-" + number),
                "{\"student\":" + number + "}",
                DEADLINE_MILLIS);
        return caller.call(entry(deployment, number), call)
                .thenCompose(first ->
                        caller.call(entry(deployment, number + 1), call).thenApply(second -> isReplay(first, second)));
    }

    private synchronized boolean isReplay(CallerAnswer first, CallerAnswer second) {
        boolean isSame = first.isWhole() && second.isWhole() && first.text().equals(second.text());
        if (!isSame) {
            out.println("  first: " + first + ", resend: " + second);
        }
        return isSame;
    }

    private boolean summarise(LocalDeployment deployment) {
        out.printf(
                "Completions: %d of %d whole and checked word by word; %d wrong; %d not answered.%n",
                correct, COMPLETIONS, incorrect, failed);
        out.printf(
                "First token: median %.1f ms, 99 in 100 within %.1f ms (engines run at %.0f times their speed).%n",
                firstTokenMicros.getValueAtPercentile(MEDIAN_PERCENTILE) / MICROS_PER_MILLI,
                firstTokenMicros.getValueAtPercentile(TAIL_PERCENTILE) / MICROS_PER_MILLI,
                1.0 / TIME_SCALE);
        List<ModelEngineStandin.Stats> engines = deployment.targets().engines().values().stream()
                .map(ModelEngineStandin::stats)
                .toList();
        long moves = engines.stream()
                .mapToLong(stats -> stats.memory().loads() + stats.memory().evictions())
                .sum();
        long overcommits = engines.stream()
                .mapToLong(stats -> stats.memory().overcommits())
                .sum();
        out.printf("Moves: %d. Moments with accelerator memory overcommitted: %d.%n", moves, overcommits);
        return overcommits == 0;
    }

    private boolean rollOut(LocalDeployment deployment, byte[] document) throws InterruptedException {
        String next = new String(document, StandardCharsets.UTF_8)
                .replace("version = 1\n\n[[services]]", "version = 2\n\n[[services]]");
        long startNanos = System.nanoTime();
        BundleAcceptance.Outcome outcome = deployment.submit(next.getBytes(StandardCharsets.UTF_8));
        boolean everywhere = deployment.awaitVersion(2L, READY_TIMEOUT_MILLIS);
        out.printf(
                "Bundle 2: %s; in force in all %d processes after %.0f ms.%n",
                outcome.verdict(),
                deployment.sides().size() + deployment.entries().size(),
                (System.nanoTime() - startNanos) / MICROS_PER_MILLI / MICROS_PER_MILLI);
        return everywhere;
    }

    private static HostPort entry(LocalDeployment deployment, int number) {
        return deployment.entries().get(number % deployment.entries().size()).callerAddress();
    }

    private static byte[] readBundle() throws IOException {
        try (InputStream stream = Demo.class.getResourceAsStream(BUNDLE)) {
            return stream.readAllBytes();
        }
    }
}
