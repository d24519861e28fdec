package io.waxwingquay.entry;

import static io.waxwingquay.entry.CallerClient.ASK;
import static io.waxwingquay.entry.CallerClient.ASK_STREAM;
import static io.waxwingquay.entry.CallerClient.ask;
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

class ModelFlowTest {

    private final Fakes fakes = new Fakes();
    private final EntryNode node = fakes.node();

    @AfterEach
    void close() {
        node.close();
    }

    @Test
    void streamsPiecesWithOffsetsAndEndsWithDone() {
        CallerClient.Answer answer = ask(node, ASK_STREAM);
        assertEquals(200, answer.status());
        assertTrue(answer.body().contains("\"offset\":2"), answer.body());
        assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
    }

    @Test
    void answerThatComesLateDuplicatedAndOutOfOrderIsPutRight() {
        // The caller sees the whole answer once, in order. The side's polls bring each piece twice, the last
        // first, and the first piece only with a later poll, because pieces may overtake one another.
        List<Integer> polls = new ArrayList<>();
        fakes.first.mangle = answer -> {
            polls.add(1);
            List<Chunk> chunks = new ArrayList<>(answer.getChunks());
            chunks.addAll(answer.getChunks());
            Collections.reverse(chunks);
            chunks.removeIf(chunk -> polls.size() == 1 && chunk.getOffset() == 0);
            return answer.setChunks(chunks);
        };
        CallerClient.Answer answer = ask(node, ASK);
        assertEquals("one two three", answer.json().at("/choices/0/text").asText());
        assertEquals(3, answer.json().at("/usage/completion_tokens").asInt());
        assertEquals(2, polls.size());
    }

    @Test
    void truncatedStreamEndsWithAnErrorAndWithoutDone() {
        // The caller has seen tokens when the answer ends without its total. Another run's tokens would not
        // fit to them, so the stream ends with an explicit error and is never passed off as whole.
        fakes.first.mangle = answer -> {
            answer.unsetTotalUnits();
            return answer;
        };
        CallerClient.Answer answer = ask(node, ASK_STREAM);
        assertTrue(answer.body().contains("event: error"), answer.body());
        assertTrue(answer.body().contains("\"execution\":\"ran\""), answer.body());
        assertFalse(answer.body().contains("[DONE]"), answer.body());
        assertEquals(0, fakes.second.submissions);
    }

    @Test
    void silentConnectionIsResumedAtTheSameSideFromTheSameOffset() {
        // The caller sees one whole answer. The connection falls silent twice in mid-stream; the entry submits
        // the same attempt again, which attaches to the run that goes on, and no other side is asked.
        List<Integer> polls = new ArrayList<>();
        fakes.first.mangle = answer -> {
            polls.add(1);
            return polls.size() > 1
                    ? answer
                    : answer.setChunks(answer.getChunks().subList(0, 1)).setState(AttemptState.RUNNING);
        };
        fakes.first.pollFaults.addAll(
                List.of(FakeSide.Fault.NONE, FakeSide.Fault.LOSE_ANSWER, FakeSide.Fault.LOSE_ANSWER));
        CallerClient.Answer answer = ask(node, ASK_STREAM);
        assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
        assertEquals(1, fakes.first.runs.size());
        assertEquals(3, fakes.first.submissions);
        assertEquals(0, fakes.second.submissions);
    }

    @Test
    void lostSubmissionWithNoOtherSideIsUnknownAndNotCalledNotRun() {
        // The caller sees an error with execution unknown. The side takes the request and runs it, every answer
        // is lost on the way, and so neither "ran" nor "did not run" would be certain.
        fakes.present = List.of(fakes.first);
        fakes.first.submitFaults.addAll(Collections.nCopies(50, FakeSide.Fault.LOSE_ANSWER));
        CallerClient.Answer answer = ask(node, ASK);
        assertEquals(502, answer.status());
        assertEquals("unknown", answer.error("execution"));
        assertEquals(1, fakes.first.runs.size());
    }

    @Test
    void refusalOfARestartedSideDoesNotSpeakForItsPredecessor() {
        // The caller sees unknown. The side takes the request, its answer is lost and it restarts; its new
        // epoch is overloaded and truthfully refuses, but what the epoch before ran it cannot know.
        fakes.present = List.of(fakes.first);
        fakes.first.submitFaults.add(FakeSide.Fault.LOSE_ANSWER_AND_RESTART);
        fakes.first.refusalsAfterRestart.add(refusal(RefusalReason.OVERLOADED, Execution.DID_NOT_RUN));
        CallerClient.Answer answer = ask(node, ASK);
        assertEquals(503, answer.status());
        assertEquals("unknown", answer.error("execution"));
    }

    @Test
    void unknownFirstTryKeepsTheFinalRefusalUnknown() {
        // The caller sees unknown, although the last side asked refused truthfully that it ran nothing: the
        // first side had taken the request before its target went down.
        fakes.first.pieces = new String[0];
        fakes.first.failures.add(refusal(RefusalReason.TARGET_DOWN, Execution.UNKNOWN));
        fakes.second.refusals.add(refusal(RefusalReason.OVERLOADED, Execution.DID_NOT_RUN));
        CallerClient.Answer answer = ask(node, ASK);
        assertEquals(503, answer.status());
        assertEquals("unknown", answer.error("execution"));
    }

    @Test
    void targetThatGoesDownIsTriedOnceElsewhere() {
        fakes.first.failures.add(refusal(RefusalReason.TARGET_DOWN, Execution.UNKNOWN));
        CallerClient.Answer answer = ask(node, ASK);
        assertEquals("one two three", answer.json().at("/choices/0/text").asText());
        assertEquals(1, fakes.second.runs.size());
    }

    @Test
    void leavingSideIsNotedAndTheNextOneAsked() {
        fakes.first.refusals.add(refusal(RefusalReason.LEAVING, Execution.DID_NOT_RUN));
        assertEquals(200, ask(node, ASK).status());
        assertEquals(List.of("side-1"), fakes.leaving);
    }

    @Test
    void refusalEverywhereIsFinalWithAComeBackTime() {
        fakes.first.refusals.add(refusal(RefusalReason.OVERLOADED, Execution.DID_NOT_RUN));
        fakes.second.refusals.add(refusal(RefusalReason.OVERLOADED, Execution.DID_NOT_RUN));
        CallerClient.Answer answer = ask(node, ASK);
        assertEquals(503, answer.status());
        assertEquals("did_not_run", answer.error("execution"));
        assertTrue(answer.raw().headers().firstValue("Retry-After").isPresent());
    }

    @Test
    void quarantinedRequestIsNotTriedElsewhere() {
        fakes.first.refusals.add(refusal(RefusalReason.QUARANTINED, Execution.DID_NOT_RUN));
        CallerClient.Answer answer = ask(node, ASK);
        assertEquals(422, answer.status());
        assertTrue(answer.raw().headers().firstValue("Retry-After").isEmpty(), "no call to come back");
        assertEquals(0, fakes.second.submissions);
    }

    @Test
    void requestThatTheBookQuarantinesIsRefusedHere() {
        assertEquals(200, ask(node, ASK).status());
        fakes.suspects.recordCrash("c1", List.of(fakes.first.lastSubmission.getFingerprint()));
        assertEquals("quarantined", ask(node, ASK).error("code"));
        assertEquals(1, fakes.first.submissions + fakes.second.submissions);
        assertEquals(200, ask(node, ASK.replace("\"p\"", "\"other\"")).status());
    }

    @Test
    void deadlineEndsTheRequestAndCancelsItAtTheSide() {
        fakes.first.running = true;
        CallerClient.Answer answer = ask(node, ASK, "X-Deadline-Millis", "30");
        assertEquals(504, answer.status());
        assertEquals("unknown", answer.error("execution"));
        assertEquals(1, fakes.first.cancelled.size());
    }

    @Test
    void callerWhoLeavesInMidStreamHasTheRunCancelled() throws IOException {
        // The caller closes its connection after the first event while the run goes on. The entry meets the
        // closed connection at a write and cancels the run, whose tokens nobody would read.
        fakes.first.running = true;
        fakes.first.pieces = Collections.nCopies(100_000, "word ").toArray(String[]::new);
        fakes.first.mangle = answer -> {
            List<Chunk> chunks = answer.getChunks();
            return answer.setChunks(chunks.subList(0, Math.min(1, chunks.size())));
        };
        try (Socket socket = new Socket(node.address().host(), node.address().port())) {
            String head = "POST /v1/completions HTTP/1.1\r\nHost: e\r\nContent-Length: " + ASK_STREAM.length();
            socket.getOutputStream().write((head + "\r\n\r\n" + ASK_STREAM).getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().read();
        }
        long limit = System.nanoTime() + 20_000_000_000L;
        while (fakes.first.cancelled.isEmpty()) {
            assertTrue(System.nanoTime() < limit, "the run was never cancelled");
            Thread.onSpinWait();
        }
    }

    private static Refusal refusal(RefusalReason reason, Execution execution) {
        return new Refusal(reason, "told to", 0, execution);
    }
}
