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

/** Steps on whole answers. The scenarios share one path, which each finds without faults. */
public final class AnswerSteps {

    private static final int TOKENS = 40;
    private static final int LONG_TOKENS = 4_000;
    private static final long FAULT_AFTER_TOKENS = 5;
    private static final long LATE_MILLIS = 30;
    private static final List<String> SIDES = List.of("studio-0", "studio-1");

    private CallPathWorld world;
    private List<CompletableFuture<CallerAnswer>> sent;

    /** Takes the path, healed. */
    @Given("answers: a path of two engines")
    public void path() throws Exception {
        world = SharedPath.take(2, 1);
    }

    /** Sends the requests and lets the faults hit in the middle of their streams. */
    @When("answers: {int} completions are streamed through two entries with {string} and {string}")
    public void stream(int count, String fault, String other) throws Exception {
        before(fault);
        before(other);
        long tokensBefore = tokens();
        sent = IntStream.range(0, count)
                .mapToObj(number -> world.complete(world.entry(number % 2), prompt(number), TOKENS))
                .toList();
        Await.until(() -> tokens() >= tokensBefore + (long) count * FAULT_AFTER_TOKENS);
        during(fault);
        during(other);
    }

    /** Compares every text. */
    @Then("answers: each caller has the whole answer to its own request")
    public void whole() throws Exception {
        for (int number = 0; number < sent.size(); number++) {
            CallerAnswer answer = Await.value(sent.get(number));
            assertTrue(answer.isWhole(), answer.toString());
            assertEquals(CallPathWorld.expected(prompt(number), TOKENS), answer.text());
        }
    }

    /** Reads the first event of a long stream and closes the connection. */
    @When("answers: a caller reads the start of a long answer and goes")
    public void go() throws Exception {
        HostPort entry = world.entry(0);
        String body = "{\"model\":\"throwing\",\"prompt\":\"long\",\"max_tokens\":" + LONG_TOKENS + ",\"stream\":true}";
        String head =
                "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length() + "\r\n\r\n";
        long tokensBefore = tokens();
        try (Socket socket = new Socket(entry.host(), entry.port())) {
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
            assertTrue(socket.getInputStream().read() > 0);
            Await.until(() -> tokens() > tokensBefore + FAULT_AFTER_TOKENS);
        }
    }

    /** Waits until no engine runs anything, long before the answer could have been whole. */
    @Then("answers: no engine goes on with it")
    public void cancelled() throws Exception {
        long tokensAtLeaving = tokens();
        HttpClient client = HttpCalls.startClient(4, 1_000L);
        try {
            for (ModelEngineStandin engine : world.engines()) {
                HttpModelEngine seen =
                        new HttpModelEngine(client, new HostPort("127.0.0.1", engine.port()), 1_000L, 1_000L);
                Await.until(() -> Await.value(seen.loadReport()).running() == 0);
            }
        } finally {
            client.stop();
        }
        assertTrue(tokens() < tokensAtLeaving + LONG_TOKENS / 2, "the engine went on to " + tokens());
    }

    private void before(String fault) {
        switch (fault) {
            case "late answers" -> links(link -> link.delayMillis(LATE_MILLIS));
            case "engine repeats tokens" -> engines(Faults.Kind.DUPLICATE_STREAM);
            case "engine streams cut short" -> engines(Faults.Kind.TRUNCATE_STREAM);
            case "engine streams go silent" -> engines(Faults.Kind.SILENT_STREAM);
            default -> {}
        }
    }

    private void during(String fault) {
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

    private void engines(Faults.Kind fault) {
        world.engines().forEach(engine -> {
            engine.faults().apply(Faults.Settings.NONE.withStreamTokens(FAULT_AFTER_TOKENS));
            engine.faults().inject(fault, SIDES.size());
        });
    }

    private void links(Consumer<FaultInjectingProxy> change) {
        SIDES.forEach(side -> {
            change.accept(world.sideLink(side));
            change.accept(world.targetLink(side));
        });
    }

    private long tokens() {
        return world.engines().stream()
                .mapToLong(engine -> engine.stats().batch().tokens())
                .sum();
    }

    private static String prompt(int number) {
        return "student " + number + " asks about glazes";
    }
}
