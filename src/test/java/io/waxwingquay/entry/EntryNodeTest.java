package io.waxwingquay.entry;

import static io.waxwingquay.entry.CallerClient.ASK;
import static io.waxwingquay.entry.CallerClient.ASK_STREAM;
import static io.waxwingquay.entry.CallerClient.ask;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EntryNodeTest {

    private final Fakes fakes = new Fakes();
    private final EntryNode node = fakes.node();

    @AfterEach
    void close() {
        node.close();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            {"model":            | 400 | malformed_body | body
            [1]                  | 400 | malformed_body | body
            null                 | 400 | malformed_body | body
            {"model":"m","prompt":"p","max_tokens":"x"} | 400 | malformed_body | max_tokens
            {"model":"m","prompt":"p"} | 400 | malformed_body | max_tokens
            {"model":"m","prompt":"p","max_tokens":0} | 400 | bad_value | max_tokens
            {"model":"m","prompt":"p","max_tokens":8,"temp":1} | 400 | unknown_field | temp
            {"model":"nix","prompt":"p","max_tokens":8} | 404 | unknown_model | nix
            {"model":"m","adapter":"nix","prompt":"p","max_tokens":8} | 404 | unknown_adapter | nix
            """)
    void badCompletionIsRefusedByElement(String body, int status, String code, String element) {
        CallerClient.Answer answer = ask(node, body);
        assertEquals(status, answer.status(), answer.body());
        assertEquals(code, answer.error("code"));
        assertEquals(element, answer.error("element"));
        assertEquals("did_not_run", answer.error("execution"));
    }

    @ParameterizedTest
    @CsvSource({"soon,400,bad_deadline", "0,504,deadline", "-5,504,deadline", "999999999,400,bad_deadline"})
    void badDeadlineIsRefused(String budget, int status, String code) {
        CallerClient.Answer answer = ask(node, ASK, "X-Deadline-Millis", budget);
        assertEquals(status, answer.status());
        assertEquals(code, answer.error("code"));
        assertEquals("X-Deadline-Millis", answer.error("element"));
    }

    @ParameterizedTest
    @CsvSource({
        "/v1/services/nix/deposit,404,unknown_service",
        "/v1/services/llm/deposit,404,unknown_service",
        "/v1/services/pay/nix,404,unknown_operation",
        "/v1/services/pay/deposit,400,missing_idempotency_key",
        "/v2/completions,404,unknown_path"
    })
    void badPathOrMissingKeyIsRefused(String path, int status, String code) {
        CallerClient.Answer answer = CallerClient.send(node, path, "{}").join();
        assertEquals(status, answer.status());
        assertEquals(code, answer.error("code"));
    }

    @Test
    void bodyOverTheLimitIsRefused() {
        CallerClient.Answer answer = ask(node, "x".repeat(5_000));
        assertEquals(413, answer.status());
        assertEquals("body", answer.error("element"));
    }

    @Test
    void echoesTheRequestIdOrMakesOne() {
        assertEquals(
                "r-1",
                ask(node, ASK, "X-Request-Id", "r-1")
                        .raw()
                        .headers()
                        .firstValue("X-Request-Id")
                        .orElseThrow());
        assertTrue(ask(node, ASK)
                        .raw()
                        .headers()
                        .firstValue("X-Request-Id")
                        .orElseThrow()
                        .length()
                > 8);
    }

    @Test
    void isNotReadyWithoutABundle() {
        fakes.bundle = Optional.empty();
        assertEquals(503, CallerClient.get(node, "/readyz"));
        assertEquals(200, CallerClient.get(node, "/healthz"));
        assertEquals("not_ready", ask(node, ASK).error("code"));
    }

    @Test
    void characterThatIsSplitOverPiecesIsNotGarbled() {
        fakes.first.mangle = answer -> {
            byte[] bytes = "é".getBytes(java.nio.charset.StandardCharsets.UTF_8);
            answer.getChunks().forEach(chunk -> chunk.setBytes(new byte[0]));
            answer.getChunks().get(0).setBytes(new byte[] {bytes[0]});
            answer.getChunks().get(1).setBytes(new byte[] {bytes[1]});
            return answer;
        };
        assertTrue(ask(node, ASK_STREAM).body().contains("\"text\":\"é\""));
    }

    @Test
    void drainFinishesTheOpenStreamAndRefusesNewRequests() {
        // The caller of an open stream sees it end whole, though the entry was told to shut down in the middle;
        // a new caller is refused at once, truthfully as not run.
        fakes.first.running = true;
        CompletableFuture<Void> polled = new CompletableFuture<>();
        fakes.first.pollHold = () -> {
            polled.complete(null);
            return CompletableFuture.completedFuture(null);
        };
        CompletableFuture<CallerClient.Answer> open = CallerClient.send(node, "/v1/completions", ASK_STREAM);
        polled.join();
        CompletableFuture<Boolean> drained = node.drain(60_000);
        CallerClient.Answer refused = ask(node, ASK);
        assertEquals("draining", refused.error("code"));
        assertEquals("did_not_run", refused.error("execution"));
        assertEquals(503, CallerClient.get(node, "/readyz"));
        fakes.first.running = false;
        assertTrue(open.join().body().endsWith("data: [DONE]\n\n"));
        assertTrue(drained.join());
    }
}
