package io.waxwingquay.scenario;

import io.waxwingquay.bench.Caller;
import io.waxwingquay.bench.CallerAnswer;
import io.waxwingquay.bench.LocalDeployment;
import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.process.EntryProcess;
import io.waxwingquay.process.SideProcess;
import io.waxwingquay.standin.ModelEngineStandin;
import io.waxwingquay.testing.Await;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;

/**
 * One scenario's deployment: 2 entries, 3 model engines, 2 plain targets, and a caller. Everything that a scenario
 * opens is closed with it, the newest first.
 */
final class DeploymentWorld implements AutoCloseable {

    static final int TOKENS = 6;
    static final long DEADLINE_MILLIS = 8_000L;
    private static final String BUNDLE = "/scenarios/bundle.toml";
    private static final double TIME_SCALE = 0.05;
    private static final long SERVING_LIMIT_MILLIS = 30_000L;
    private static final String STUDIO = "studio";

    private final Deque<AutoCloseable> owned = new ArrayDeque<>();
    private Optional<LocalDeployment> deployment = Optional.empty();
    private Optional<Caller> caller = Optional.empty();
    private int asked;

    /** Starts a deployment and waits until it serves every model. */
    void start(UnaryOperator<LocalDeployment.Builder> choices) throws InterruptedException {
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

    /** Asks one entry for a few tokens of a model. */
    CompletableFuture<CallerAnswer> ask(int entry, String model, int tokens) {
        asked++;
        Caller.Completion completion =
                new Caller.Completion(model, Optional.empty(), "question " + asked, tokens, 50, DEADLINE_MILLIS);
        return caller.orElseThrow().complete(entry(entry).callerAddress(), completion);
    }

    /** Waits until every model answers whole through every entry that is left. */
    void awaitEveryModel() throws Exception {
        for (int entry = 0; entry < deployment().entries().size(); entry++) {
            for (String model : models()) {
                int through = entry;
                Await.until(() -> Await.value(ask(through, model, TOKENS)).isWhole());
            }
        }
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
            Await.closing(owned.pop());
        }
    }
}
