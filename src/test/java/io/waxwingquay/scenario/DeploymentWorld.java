package io.waxwingquay.scenario;

import io.waxwingquay.bench.Caller;
import io.waxwingquay.bench.CallerAnswer;
import io.waxwingquay.bench.LocalDeployment;
import io.waxwingquay.bench.LocalDeploymentBuilder;
import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.process.EntryProcess;
import io.waxwingquay.process.SideProcess;
import io.waxwingquay.standin.ModelEngineStandin;
import io.waxwingquay.standin.StandinText;
import io.waxwingquay.testing.Await;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

/**
 * Deployment of one scenario: 2 entries, 3 model engines, 2 plain targets, and a caller. Closing it closes everything
 * that the scenario opened, the newest first.
 */
final class DeploymentWorld implements AutoCloseable {

    static final int TOKENS_PER_ANSWER = 6;
    static final long DEADLINE_MILLIS = 20_000L;
    private static final String BUNDLE_RESOURCE = "/scenarios/bundle.toml";
    private static final double TIME_SCALE = 0.05;
    private static final long START_TIMEOUT_MILLIS = 30_000L;
    private static final String MODEL_SERVICE = "studio";

    private static Optional<DeploymentWorld> current = Optional.empty();

    private final Deque<AutoCloseable> resources = new ArrayDeque<>();
    private Optional<LocalDeployment> deployment = Optional.empty();
    private Optional<Caller> caller = Optional.empty();
    private final AtomicInteger questionCount = new AtomicInteger();
    private final AtomicInteger wrongAnswers = new AtomicInteger();

    /** Returns the world that all step classes of a scenario share; scenarios run one after another. */
    static synchronized DeploymentWorld current() {
        if (current.isEmpty()) {
            current = Optional.of(new DeploymentWorld());
        }
        return current.get();
    }

    static synchronized void closeCurrent() {
        current.ifPresent(DeploymentWorld::close);
        current = Optional.empty();
    }

    /** Starts a deployment and waits until it serves every model. */
    void start(UnaryOperator<LocalDeploymentBuilder> configure) throws InterruptedException {
        LocalDeployment startedDeployment = closeAtEnd(configure
                .apply(LocalDeployment.builder(bundleDocument())
                        .timeScale(TIME_SCALE)
                        .entries(2))
                .start());
        deployment = Optional.of(startedDeployment);
        caller = Optional.of(closeAtEnd(new Caller()));
        if (!startedDeployment.awaitServing(START_TIMEOUT_MILLIS)) {
            throw new AssertionError("models not served: " + startedDeployment.unservedModels(entry(0)));
        }
    }

    LocalDeployment deployment() {
        return deployment.orElseThrow();
    }

    EntryProcess entry(int number) {
        return deployment().entries().get(number);
    }

    /** Returns a side of the model service. */
    SideProcess modelSide(int replica) {
        return deployment().sides().get(modelSideName(replica));
    }

    /** Returns the engine behind a side of the model service. */
    ModelEngineStandin engine(int replica) {
        return deployment().targets().engines().get(modelSideName(replica));
    }

    static String modelSideName(int replica) {
        return MODEL_SERVICE + "-" + replica;
    }

    Bundle.Service modelService() {
        return deployment().bundle().service(MODEL_SERVICE).orElseThrow();
    }

    List<String> models() {
        return deployment().bundle().models().stream().map(Bundle.Model::name).toList();
    }

    /** Sends a completion to one entry; a whole answer with an unexpected text is counted as wrong. */
    CompletableFuture<CallerAnswer> sendCompletion(int entry, String model, int tokens) {
        String prompt = "question " + questionCount.incrementAndGet();
        Caller.Completion completion =
                new Caller.Completion(model, Optional.empty(), prompt, tokens, 50, DEADLINE_MILLIS);
        return caller.orElseThrow()
                .complete(entry(entry).callerAddress(), completion)
                .thenApply(answer -> countIfWrong(answer, model, prompt, tokens));
    }

    /** Sends completions one after another, through the entries in turn, and returns the answers. */
    List<CallerAnswer> sendSequentially(String model, int times) throws Exception {
        List<CallerAnswer> answers = new ArrayList<>();
        for (int number = 0; number < times; number++) {
            answers.add(
                    Await.value(sendCompletion(number % deployment().entries().size(), model, TOKENS_PER_ANSWER)));
        }
        return answers;
    }

    /** Returns how many answers were whole but differed from what the engines generate. */
    int wrongAnswerCount() {
        return wrongAnswers.get();
    }

    private CallerAnswer countIfWrong(CallerAnswer answer, String model, String prompt, int tokens) {
        long version = entry(0).bundleVersion();
        boolean textMatches = version > 1
                || answer.text().equals(StandinText.answer(itemOf(model), Optional.empty(), prompt, tokens));
        if (answer.isWhole() && !textMatches) {
            wrongAnswers.incrementAndGet();
        }
        return answer;
    }

    String itemOf(String model) {
        return deployment().bundle().models().stream()
                .filter(found -> found.name().equals(model))
                .map(Bundle.Model::item)
                .findFirst()
                .orElseThrow();
    }

    /** Returns how many generations an engine of the model service has started. */
    long startedGenerations(int replica) {
        return engine(replica).stats().batch().started();
    }

    /** Waits until a model gives a whole answer through every remaining entry. */
    void awaitWholeAnswer(String model) throws Exception {
        for (int entry = 0; entry < deployment().entries().size(); entry++) {
            int entryNumber = entry;
            Await.until(() -> Await.value(sendCompletion(entryNumber, model, TOKENS_PER_ANSWER))
                    .isWhole());
        }
    }

    /** Waits until every model gives a whole answer through every remaining entry. */
    void awaitEveryModel() throws Exception {
        for (String model : models()) {
            awaitWholeAnswer(model);
        }
    }

    /** Returns the bundle version in force in each process. */
    Map<String, Long> bundleVersions() {
        Map<String, Long> versions = new LinkedHashMap<>();
        deployment().entries().forEach(entry -> versions.put("entry at " + entry.address(), entry.bundleVersion()));
        Map.copyOf(deployment().sides())
                .forEach((name, side) -> versions.put(name + " at " + side.address(), side.bundleVersion()));
        return versions;
    }

    /** Returns the number of instants at which the memory of any engine was overcommitted. */
    long overcommitCount() {
        return deployment().targets().engines().values().stream()
                .mapToLong(engine -> engine.stats().memory().overcommits())
                .sum();
    }

    <T extends AutoCloseable> T closeAtEnd(T closeable) {
        resources.push(closeable);
        return closeable;
    }

    /** Returns the bundle document of the scenarios with another version and further changes to its text. */
    static byte[] bundleDocument(long version, UnaryOperator<String> change) {
        String text = new String(bundleDocument(), StandardCharsets.UTF_8)
                .replace("version = 1\n\n", "version = " + version + "\n\n");
        return change.apply(text).getBytes(StandardCharsets.UTF_8);
    }

    static byte[] bundleDocument() {
        try (InputStream stream = DeploymentWorld.class.getResourceAsStream(BUNDLE_RESOURCE)) {
            return stream.readAllBytes();
        } catch (IOException failure) {
            throw new IllegalStateException("the bundle document of the scenarios cannot be read", failure);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        while (!resources.isEmpty()) {
            Await.closeUnchecked(resources.pop());
        }
    }
}
