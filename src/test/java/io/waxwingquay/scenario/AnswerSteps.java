package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.waxwingquay.bench.CallerAnswer;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.common.HttpCalls;
import io.waxwingquay.engine.HttpModelEngine;
import io.waxwingquay.standin.FaultInjectingProxy;
import io.waxwingquay.standin.Faults;
import io.waxwingquay.standin.ModelEngineStandin;
import io.waxwingquay.testing.Await;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.eclipse.jetty.client.HttpClient;

/** Steps on whole answers. The scenarios share one call path, which is free of faults when a scenario takes it. */
public final class AnswerSteps {

    private static final int TOKENS_PER_ANSWER = 40;
    private static final int LONG_ANSWER_TOKENS = 4_000;
    private static final long FAULT_AFTER_TOKENS = 5;
    private static final long LINK_DELAY_MILLIS = 30;
    private static final List<String> SIDES = List.of("studio-0", "studio-1");

    private CallPathWorld world;
    private List<CompletableFuture<CallerAnswer>> pendingAnswers;

    /** Takes the shared call path and clears its faults. */
    @Given("answers: a path of two engines")
    public void takeSharedPath() throws Exception {
        world = SharedCallPaths.take(2, 1);
    }

    /** Sends the requests and injects the faults in the middle of their streams. */
    @When("answers: {int} completions are streamed through two entries with {string} and {string}")
    public void streamCompletions(int count, String fault, String otherFault) throws Exception {
        injectBeforeSending(fault);
        injectBeforeSending(otherFault);
        long tokensBefore = generatedTokens();
        pendingAnswers = IntStream.range(0, count)
                .mapToObj(number ->
                        world.sendCompletion(world.entryAddress(number % 2), prompt(number), TOKENS_PER_ANSWER))
                .toList();
        Await.until(() -> generatedTokens() >= tokensBefore + (long) count * FAULT_AFTER_TOKENS);
        injectDuringStreams(fault);
        injectDuringStreams(otherFault);
    }

    /** Compares the text of every answer with the text that the engines generate for its prompt. */
    @Then("answers: each caller has the whole answer to its own request")
    public void verifyAnswersWhole() throws Exception {
        for (int number = 0; number < pendingAnswers.size(); number++) {
            CallerAnswer answer = Await.value(pendingAnswers.get(number));
            assertTrue(answer.isWhole(), answer.toString());
            assertEquals(CallPathWorld.expectedText(prompt(number), TOKENS_PER_ANSWER), answer.text());
        }
    }

    /** Reads the first bytes of a long stream and closes the connection while the engine still generates. */
    @When("answers: a caller reads the start of a long answer and goes")
    public void disconnectMidStream() throws Exception {
        HostPort entry = world.entryAddress(0);
        String body = "{\"model\":\"throwing\",\"prompt\":\"long\",\"max_tokens\":" + LONG_ANSWER_TOKENS
                + ",\"stream\":true}";
        String head =
                "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length() + "\r\n\r\n";
        long tokensBefore = generatedTokens();
        try (Socket socket = new Socket(entry.host(), entry.port())) {
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
            assertTrue(socket.getInputStream().read() > 0);
            Await.until(() -> generatedTokens() > tokensBefore + FAULT_AFTER_TOKENS);
        }
    }

    /** Waits until no engine runs a generation, and checks that under half of the long answer was generated since. */
    @Then("answers: no engine goes on with it")
    public void verifyNoEngineContinues() throws Exception {
        long tokensAtDisconnect = generatedTokens();
        HttpClient client = HttpCalls.startClient(4, 1_000L);
        try {
            for (ModelEngineStandin engine : world.engines()) {
                HttpModelEngine engineClient =
                        new HttpModelEngine(client, new HostPort("127.0.0.1", engine.port()), 1_000L, 1_000L);
                Await.until(() -> Await.value(engineClient.loadReport()).running() == 0);
            }
        } finally {
            client.stop();
        }
        assertTrue(
                generatedTokens() < tokensAtDisconnect + LONG_ANSWER_TOKENS / 2,
                "the engine went on after the disconnect, tokens generated: " + generatedTokens());
    }

    private void injectBeforeSending(String fault) {
        switch (fault) {
            case "late answers" -> changeLinks(link -> link.delayMillis(LINK_DELAY_MILLIS));
            case "engine repeats tokens" -> injectEngineFault(Faults.Kind.DUPLICATE_STREAM);
            case "engine streams cut short" -> injectEngineFault(Faults.Kind.TRUNCATE_STREAM);
            case "engine streams go silent" -> injectEngineFault(Faults.Kind.SILENT_STREAM);
            default -> {}
        }
    }

    private void injectDuringStreams(String fault) {
        switch (fault) {
            case "side connections go silent" -> SIDES.forEach(
                    side -> world.sideLink(side).blackholeOpen());
            case "side connections closed" -> SIDES.forEach(
                    side -> world.sideLink(side).closeOpen());
            case "target connections silent" -> SIDES.forEach(
                    side -> world.targetLink(side).blackholeOpen());
            default -> {}
        }
    }

    private void injectEngineFault(Faults.Kind fault) {
        world.engines().forEach(engine -> {
            engine.faults().apply(Faults.Settings.NONE.withStreamTokens(FAULT_AFTER_TOKENS));
            engine.faults().inject(fault, SIDES.size());
        });
    }

    private void changeLinks(Consumer<FaultInjectingProxy> change) {
        SIDES.forEach(side -> {
            change.accept(world.sideLink(side));
            change.accept(world.targetLink(side));
        });
    }

    private long generatedTokens() {
        return world.engines().stream()
                .mapToLong(engine -> engine.stats().batch().tokens())
                .sum();
    }

    private static String prompt(int number) {
        return "student " + number + " asks about glazes";
    }
}
