package io.waxwingquay.entry;

import static io.waxwingquay.entry.CallerClient.COMPLETION_BODY;
import static io.waxwingquay.entry.CallerClient.STREAMED_COMPLETION_BODY;
import static io.waxwingquay.entry.CallerClient.complete;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.transport.generated.AttemptState;
import io.waxwingquay.transport.generated.Chunk;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.Refusal;
import io.waxwingquay.transport.generated.RefusalReason;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ModelDispatcherTest {

    private final FakeCluster cluster = new FakeCluster();
    private final EntryNode node = cluster.startEntry();

    @AfterEach
    void close() {
        node.close();
    }

    @Test
    void streamsChunksWithOffsetsAndEndsWithDone() {
        CallerClient.Answer answer = complete(node, STREAMED_COMPLETION_BODY);
        assertEquals(200, answer.status());
        assertTrue(answer.body().contains("\"offset\":2"), answer.body());
        assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
    }

    @Test
    void lateDuplicatedAndReorderedChunksAreReassembled() {
        // Chunks may overtake one another: polls return each chunk twice, in reverse order, and the first chunk only
        // with a later poll. The caller must get the complete answer once and in order.
        List<Integer> polls = new ArrayList<>();
        cluster.firstSide.pollAnswerFilter = answer -> {
            polls.add(1);
            List<Chunk> chunks = new ArrayList<>(answer.getChunks());
            chunks.addAll(answer.getChunks());
            Collections.reverse(chunks);
            chunks.removeIf(chunk -> polls.size() == 1 && chunk.getOffset() == 0);
            return answer.setChunks(chunks);
        };
        CallerClient.Answer answer = complete(node, COMPLETION_BODY);
        assertEquals("one two three", answer.json().at("/choices/0/text").asText());
        assertEquals(3, answer.json().at("/usage/completion_tokens").asInt());
        assertEquals(2, polls.size());
    }

    @Test
    void truncatedStreamEndsWithAnErrorAndWithoutDone() {
        // The answer ends without its total after the caller has received tokens. Tokens of another run would not
        // continue them, so the stream must end with an explicit error and without [DONE].
        cluster.firstSide.pollAnswerFilter = answer -> {
            answer.unsetTotalUnits();
            return answer;
        };
        CallerClient.Answer answer = complete(node, STREAMED_COMPLETION_BODY);
        assertTrue(answer.body().contains("event: error"), answer.body());
        assertTrue(answer.body().contains("\"execution\":\"ran\""), answer.body());
        assertFalse(answer.body().contains("[DONE]"), answer.body());
        assertEquals(0, cluster.secondSide.submissions);
    }

    @Test
    void silentConnectionIsResumedAtTheSameSideFromTheSameOffset() {
        // The connection is lost twice in the middle of a stream. The entry must resubmit the same attempt, which
        // attaches to the run in progress, and must not use another side.
        List<Integer> polls = new ArrayList<>();
        cluster.firstSide.pollAnswerFilter = answer -> {
            polls.add(1);
            return polls.size() > 1
                    ? answer
                    : answer.setChunks(answer.getChunks().subList(0, 1)).setState(AttemptState.RUNNING);
        };
        cluster.firstSide.pollFaults.addAll(
                List.of(FakeSide.Fault.NONE, FakeSide.Fault.LOSE_ANSWER, FakeSide.Fault.LOSE_ANSWER));
        CallerClient.Answer answer = complete(node, STREAMED_COMPLETION_BODY);
        assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
        assertEquals(1, cluster.firstSide.runs.size());
        assertEquals(3, cluster.firstSide.submissions);
        assertEquals(0, cluster.secondSide.submissions);
    }

    @Test
    void lostSubmissionWithNoOtherSideIsReportedAsUnknown() {
        // The side runs the request, but every answer is lost, so the entry can conclude neither that the request ran
        // nor that it did not. The caller must get execution unknown.
        cluster.knownSides = List.of(cluster.firstSide);
        cluster.firstSide.submitFaults.addAll(Collections.nCopies(50, FakeSide.Fault.LOSE_ANSWER));
        CallerClient.Answer answer = complete(node, COMPLETION_BODY);
        assertEquals(502, answer.status());
        assertEquals("unknown", answer.error("execution"));
        assertEquals(1, cluster.firstSide.runs.size());
    }

    @Test
    void refusalByARestartedSideLeavesTheEarlierEpochUnknown() {
        // The side accepts the request, its answer is lost, and the side restarts. The new epoch is overloaded and
        // refuses the request as not run, but does not know what the previous epoch ran. The caller must get unknown.
        cluster.knownSides = List.of(cluster.firstSide);
        cluster.firstSide.submitFaults.add(FakeSide.Fault.LOSE_ANSWER_AND_RESTART);
        cluster.firstSide.refusalsAfterRestart.add(refusal(RefusalReason.OVERLOADED, Execution.DID_NOT_RUN));
        CallerClient.Answer answer = complete(node, COMPLETION_BODY);
        assertEquals(503, answer.status());
        assertEquals("unknown", answer.error("execution"));
    }

    @Test
    void unknownFirstAttemptKeepsTheFinalRefusalUnknown() {
        // The first side accepted the request before its target crashed, and the second one refuses it as not run. The
        // caller must get unknown, because the first attempt may have run.
        cluster.firstSide.chunkTexts = new String[0];
        cluster.firstSide.nextFailures.add(refusal(RefusalReason.TARGET_DOWN, Execution.UNKNOWN));
        cluster.secondSide.nextRefusals.add(refusal(RefusalReason.OVERLOADED, Execution.DID_NOT_RUN));
        CallerClient.Answer answer = complete(node, COMPLETION_BODY);
        assertEquals(503, answer.status());
        assertEquals("unknown", answer.error("execution"));
    }

    @Test
    void requestOfACrashedTargetIsRetriedOnAnotherSide() {
        cluster.firstSide.nextFailures.add(refusal(RefusalReason.TARGET_DOWN, Execution.UNKNOWN));
        CallerClient.Answer answer = complete(node, COMPLETION_BODY);
        assertEquals("one two three", answer.json().at("/choices/0/text").asText());
        assertEquals(1, cluster.secondSide.runs.size());
    }

    @Test
    void leavingSideIsRecordedAndTheNextOneIsUsed() {
        cluster.firstSide.nextRefusals.add(refusal(RefusalReason.LEAVING, Execution.DID_NOT_RUN));
        assertEquals(200, complete(node, COMPLETION_BODY).status());
        assertEquals(List.of("side-1"), cluster.leavingSideIds);
    }

    @Test
    void refusalByEverySideIsFinalWithARetryAfterDelay() {
        cluster.firstSide.nextRefusals.add(refusal(RefusalReason.OVERLOADED, Execution.DID_NOT_RUN));
        cluster.secondSide.nextRefusals.add(refusal(RefusalReason.OVERLOADED, Execution.DID_NOT_RUN));
        CallerClient.Answer answer = complete(node, COMPLETION_BODY);
        assertEquals(503, answer.status());
        assertEquals("did_not_run", answer.error("execution"));
        assertTrue(answer.response().headers().firstValue("Retry-After").isPresent());
    }

    @Test
    void quarantinedRequestIsNotRetried() {
        cluster.firstSide.nextRefusals.add(refusal(RefusalReason.QUARANTINED, Execution.DID_NOT_RUN));
        CallerClient.Answer answer = complete(node, COMPLETION_BODY);
        assertEquals(422, answer.status());
        assertTrue(
                answer.response().headers().firstValue("Retry-After").isEmpty(),
                "a quarantined request must not get a retry-after delay");
        assertEquals(0, cluster.secondSide.submissions);
    }

    @Test
    void requestQuarantinedInTheSuspectBookIsRejectedByTheEntry() {
        assertEquals(200, complete(node, COMPLETION_BODY).status());
        cluster.suspects.recordCrash("c1", List.of(cluster.firstSide.lastSubmission.getFingerprint()));
        assertEquals("quarantined", complete(node, COMPLETION_BODY).error("code"));
        assertEquals(1, cluster.firstSide.submissions + cluster.secondSide.submissions);
        assertEquals(
                200,
                complete(node, COMPLETION_BODY.replace("\"p\"", "\"other\"")).status());
    }

    @Test
    void deadlineEndsTheRequestAndCancelsItAtTheSide() {
        cluster.firstSide.keepRunning = true;
        CallerClient.Answer answer = complete(node, COMPLETION_BODY, "X-Deadline-Millis", "30");
        assertEquals(504, answer.status());
        assertEquals("unknown", answer.error("execution"));
        assertEquals(1, cluster.firstSide.cancelledAttempts.size());
    }

    @Test
    void runIsCancelledWhenTheCallerDisconnectsMidStream() throws IOException {
        // The caller disconnects after the first event while the run continues. The entry detects the closed connection
        // at a write and must cancel the run, whose tokens are no longer needed.
        cluster.firstSide.keepRunning = true;
        cluster.firstSide.chunkTexts = Collections.nCopies(100_000, "word ").toArray(String[]::new);
        cluster.firstSide.pollAnswerFilter = answer -> {
            List<Chunk> chunks = answer.getChunks();
            return answer.setChunks(chunks.subList(0, Math.min(1, chunks.size())));
        };
        try (Socket socket = new Socket(node.address().host(), node.address().port())) {
            String requestHead =
                    "POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: " + STREAMED_COMPLETION_BODY.length();
            socket.getOutputStream()
                    .write((requestHead + "\r\n\r\n" + STREAMED_COMPLETION_BODY).getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().read();
        }
        long deadlineNanos = System.nanoTime() + 20_000_000_000L;
        while (cluster.firstSide.cancelledAttempts.isEmpty()) {
            assertTrue(System.nanoTime() < deadlineNanos, "the run was never cancelled");
            Thread.onSpinWait();
        }
    }

    private static Refusal refusal(RefusalReason reason, Execution execution) {
        return new Refusal(reason, "injected by the test", 0, execution);
    }
}
