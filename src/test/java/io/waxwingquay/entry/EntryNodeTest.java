package io.waxwingquay.entry;

import static io.waxwingquay.entry.CallerClient.COMPLETION_BODY;
import static io.waxwingquay.entry.CallerClient.STREAMED_COMPLETION_BODY;
import static io.waxwingquay.entry.CallerClient.complete;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EntryNodeTest {

    private final FakeCluster cluster = new FakeCluster();
    private final EntryNode node = cluster.startEntry();

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
    void badCompletionIsRejectedNamingTheElement(String body, int status, String code, String element) {
        CallerClient.Answer answer = complete(node, body);
        assertEquals(status, answer.status(), answer.body());
        assertEquals(code, answer.error("code"));
        assertEquals(element, answer.error("element"));
        assertEquals("did_not_run", answer.error("execution"));
    }

    @ParameterizedTest
    @CsvSource({"soon,400,bad_deadline", "0,504,deadline", "-5,504,deadline", "999999999,400,bad_deadline"})
    void badDeadlineIsRejected(String deadline, int status, String code) {
        CallerClient.Answer answer = complete(node, COMPLETION_BODY, "X-Deadline-Millis", deadline);
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
    void badPathOrMissingKeyIsRejected(String path, int status, String code) {
        CallerClient.Answer answer = CallerClient.send(node, path, "{}").join();
        assertEquals(status, answer.status());
        assertEquals(code, answer.error("code"));
    }

    @Test
    void bodyOverTheLimitIsRejected() {
        CallerClient.Answer answer = complete(node, "x".repeat(5_000));
        assertEquals(413, answer.status());
        assertEquals("body", answer.error("element"));
    }

    @Test
    void echoesTheRequestIdOrGeneratesOne() {
        assertEquals(
                "r-1",
                complete(node, COMPLETION_BODY, "X-Request-Id", "r-1")
                        .response()
                        .headers()
                        .firstValue("X-Request-Id")
                        .orElseThrow());
        assertTrue(complete(node, COMPLETION_BODY)
                        .response()
                        .headers()
                        .firstValue("X-Request-Id")
                        .orElseThrow()
                        .length()
                > 8);
    }

    @Test
    void isNotReadyWithoutABundle() {
        cluster.bundle = Optional.empty();
        assertEquals(503, CallerClient.get(node, "/readyz"));
        assertEquals(200, CallerClient.get(node, "/healthz"));
        assertEquals("not_ready", complete(node, COMPLETION_BODY).error("code"));
    }

    // Guards against callers who reach a new entry before it knows a side: all of their requests are rejected, while
    // other entries could serve them.
    @Test
    void isNotReadyBeforeItKnowsASide() {
        cluster.knownSides = List.of();
        assertEquals(503, CallerClient.get(node, "/readyz"));
        cluster.knownSides = List.of(cluster.firstSide);
        assertEquals(200, CallerClient.get(node, "/readyz"));
    }

    // Guards against entries that all leave the balancer at once when the last side of a moment goes.
    @Test
    void staysReadyWhenSidesGo() {
        assertEquals(200, CallerClient.get(node, "/readyz"));
        cluster.knownSides = List.of();
        assertEquals(200, CallerClient.get(node, "/readyz"));
    }

    @Test
    void characterSplitAcrossChunksIsNotGarbled() {
        cluster.firstSide.pollAnswerFilter = answer -> {
            byte[] bytes = "é".getBytes(java.nio.charset.StandardCharsets.UTF_8);
            answer.getChunks().forEach(chunk -> chunk.setBytes(new byte[0]));
            answer.getChunks().get(0).setBytes(new byte[] {bytes[0]});
            answer.getChunks().get(1).setBytes(new byte[] {bytes[1]});
            return answer;
        };
        assertTrue(complete(node, STREAMED_COMPLETION_BODY).body().contains("\"text\":\"é\""));
    }

    @Test
    void drainFinishesTheOpenStreamAndRejectsNewRequests() {
        // The entry is drained while a stream is open. The stream must still end completely, and a new request must be
        // rejected at once as not run.
        cluster.firstSide.keepRunning = true;
        CompletableFuture<Void> polled = new CompletableFuture<>();
        cluster.firstSide.pollDelay = () -> {
            polled.complete(null);
            return CompletableFuture.completedFuture(null);
        };
        CompletableFuture<CallerClient.Answer> open =
                CallerClient.send(node, "/v1/completions", STREAMED_COMPLETION_BODY);
        polled.join();
        CompletableFuture<Boolean> drained = node.drain(60_000);
        CallerClient.Answer rejected = complete(node, COMPLETION_BODY);
        assertEquals("draining", rejected.error("code"));
        assertEquals("did_not_run", rejected.error("execution"));
        assertEquals(503, CallerClient.get(node, "/readyz"));
        cluster.firstSide.keepRunning = false;
        assertTrue(open.join().body().endsWith("data: [DONE]\n\n"));
        assertTrue(drained.join());
    }
}
