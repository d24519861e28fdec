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
 * One scenario's deployment: 2 entries, 3 model engines, 2 plain targets, and a caller. Everything that a scenario
 * opens is closed with it, the newest first.
 */
final class DeploymentWorld implements AutoCloseable {

    static final int TOKENS = 6;
    static final long DEADLINE_MILLIS = 20_000L;
    private static final String BUNDLE = "/scenarios/bundle.toml";
    private static final double TIME_SCALE = 0.05;
    private static final long SERVING_LIMIT_MILLIS = 30_000L;
    private static final String STUDIO = "studio";

    private static Optional<DeploymentWorld> current = Optional.empty();

    private final Deque<AutoCloseable> owned = new ArrayDeque<>();
    private Optional<LocalDeployment> deployment = Optional.empty();
    private Optional<Caller> caller = Optional.empty();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger wrong = new AtomicInteger();

    /** The scenario's world, which all step classes share; scenarios run one after another. */
    static synchronized DeploymentWorld current() {
        if (current.isEmpty()) {
            current = Optional.of(new DeploymentWorld());
        }
        return current.get();
    }

    static synchronized void end() {
        current.ifPresent(DeploymentWorld::close);
        current = Optional.empty();
    }

    /** Starts a deployment and waits until it serves every model. */
    void start(UnaryOperator<LocalDeploymentBuilder> choices) throws InterruptedException {
        LocalDeployment started = own(choices.apply(
                        LocalDeployment.of(document()).timeScale(TIME_SCALE).entries(2))
                .start());
        deployment = Optional.of(started);
        caller = Optional.of(own(new Caller()));
        if (!started.awaitServing(SERVING_LIMIT_MILLIS)) {
            throw new AssertionError("not served: " + started.unserved(entry(0)));
        }
    }

    LocalDeployment deployment() {
        return deployment.orElseThrow();
    }

    EntryProcess entry(int number) {
        return deployment().entries().get(number);
    }

    /** A side of the model service. */
    SideProcess studio(int replica) {
        return deployment().sides().get(studioName(replica));
    }

    /** The engine behind a side of the model service. */
    ModelEngineStandin engine(int replica) {
        return deployment().targets().engines().get(studioName(replica));
    }

    static String studioName(int replica) {
        return STUDIO + "-" + replica;
    }

    Bundle.Service studioService() {
        return deployment().bundle().service(STUDIO).orElseThrow();
    }

    List<String> models() {
        return deployment().bundle().models().stream().map(Bundle.Model::name).toList();
    }

    /** Asks one entry for some tokens of a model; a whole answer with a wrong text counts as wrong. */
    CompletableFuture<CallerAnswer> ask(int entry, String model, int tokens) {
        String prompt = "question " + asked.incrementAndGet();
        Caller.Completion completion =
                new Caller.Completion(model, Optional.empty(), prompt, tokens, 50, DEADLINE_MILLIS);
        return caller.orElseThrow()
                .complete(entry(entry).callerAddress(), completion)
                .thenApply(answer -> check(answer, model, prompt, tokens));
    }

    /** Asks both entries in turn, one after another, and tells what each answered. */
    List<CallerAnswer> askInTurn(String model, int times) throws Exception {
        List<CallerAnswer> answers = new ArrayList<>();
        for (int number = 0; number < times; number++) {
            answers.add(Await.value(ask(number % deployment().entries().size(), model, TOKENS)));
        }
        return answers;
    }

    /** Answers that were whole but not what the engines wrote. */
    int wrong() {
        return wrong.get();
    }

    private CallerAnswer check(CallerAnswer answer, String model, String prompt, int tokens) {
        long version = entry(0).bundleVersion();
        boolean same = version > 1
                || answer.text().equals(StandinText.answer(itemOf(model), Optional.empty(), prompt, tokens));
        if (answer.isWhole() && !same) {
            wrong.incrementAndGet();
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

    /** Generations that each engine of the model service has started. */
    long started(int replica) {
        return engine(replica).stats().batch().started();
    }

    /** Waits until a model answers whole through every entry that is left. */
    void awaitAnswer(String model) throws Exception {
        for (int entry = 0; entry < deployment().entries().size(); entry++) {
            int through = entry;
            Await.until(() -> Await.value(ask(through, model, TOKENS)).isWhole());
        }
    }

    /** Waits until every model answers whole through every entry that is left. */
    void awaitEveryModel() throws Exception {
        for (String model : models()) {
            awaitAnswer(model);
        }
    }

    /** The version in force in each process. */
    Map<String, Long> versions() {
        Map<String, Long> versions = new LinkedHashMap<>();
        deployment().entries().forEach(entry -> versions.put("entry at " + entry.address(), entry.bundleVersion()));
        Map.copyOf(deployment().sides())
                .forEach((name, side) -> versions.put(name + " at " + side.address(), side.bundleVersion()));
        return versions;
    }

    /** Moments at which any engine's memory was overcommitted. */
    long overcommits() {
        return deployment().targets().engines().values().stream()
                .mapToLong(engine -> engine.stats().memory().overcommits())
                .sum();
    }

    <T extends AutoCloseable> T own(T closeable) {
        owned.push(closeable);
        return closeable;
    }

    /** The bundle of the scenarios with another version and perhaps other text. */
    static byte[] document(long version, UnaryOperator<String> change) {
        String text = new String(document(), StandardCharsets.UTF_8)
                .replace("version = 1\n\n", "version = " + version + "\n\n");
        return change.apply(text).getBytes(StandardCharsets.UTF_8);
    }

    static byte[] document() {
        try (InputStream stream = DeploymentWorld.class.getResourceAsStream(BUNDLE)) {
            return stream.readAllBytes();
        } catch (IOException failure) {
            throw new IllegalStateException("the bundle of the scenarios cannot be read", failure);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        while (!owned.isEmpty()) {
            Await.closeUnchecked(owned.pop());
        }
    }
}
