package io.waxwingquay.side;

import static io.waxwingquay.side.SideFixture.await;
import static io.waxwingquay.side.SideFixture.modelCall;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.engine.PlainService;
import io.waxwingquay.engine.TargetException;
import io.waxwingquay.engine.TargetException.Kind;
import io.waxwingquay.suspect.SuspectBook.Standing;
import io.waxwingquay.transport.generated.AttemptState;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.PollAnswer;
import io.waxwingquay.transport.generated.Refusal;
import io.waxwingquay.transport.generated.RefusalReason;
import io.waxwingquay.transport.generated.ResolveRequest;
import io.waxwingquay.transport.generated.SideState;
import io.waxwingquay.transport.generated.Submission;
import io.waxwingquay.transport.generated.SubmitAnswer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class SideNodeTest {

    @Test
    void streamsWholeAnswerWithTotal() {
        try (SideFixture fixture = new SideFixture().start(1L).tickAndCompleteOrders()) {
            assertTrue(submit(fixture, modelCall("r", "a")).isAccepted());
            fixture.engine.streams.get(0).tokens(0L, "he", "llo");
            PollAnswer part = fixture.poll("r", 0L);
            assertEquals("hello", text(part));
            assertFalse(part.isSetTotalUnits());
            fixture.engine.streams.get(0).finish(2L);
            PollAnswer rest = fixture.poll("r", 1L);
            assertEquals("llo", text(rest));
            assertEquals(AttemptState.DONE, rest.getState());
            assertEquals(2L, rest.getTotalUnits());
        }
    }

    // The caller sees its answer stop half way, doubled or short. The stream from the engine is cut after two
    // tokens while the engine goes on; the side opens it again from the third and drops what it has already.
    @Test
    void resumesCutStreamByOffset() {
        try (SideFixture fixture = new SideFixture().start(1L).tickAndCompleteOrders()) {
            submit(fixture, modelCall("r", "a"));
            fixture.engine.streams.get(0).tokens(0L, "a", "b");
            fixture.engine.streams.get(0).cut();
            assertEquals(2, fixture.engine.streams.size());
            assertEquals(2L, fixture.engine.streams.get(1).fromOffset());
            assertEquals("r", fixture.engine.streams.get(1).generation().id());
            fixture.engine.streams.get(0).tokens(2L, "late");
            fixture.engine.streams.get(1).tokens(1L, "b", "c");
            fixture.engine.streams.get(1).finish(3L);
            PollAnswer answer = fixture.poll("r", 0L);
            assertEquals("abc", text(answer));
            assertEquals(3L, answer.getTotalUnits());
        }
    }

    // The caller sees its answer stop and never end. The connection to the engine has gone silent for good while
    // new ones work; the side opens another and goes on from the next token, as often as it takes.
    @Test
    void reopensSilentStream() {
        try (SideFixture fixture = new SideFixture().start(1L).tickAndCompleteOrders()) {
            submit(fixture, modelCall("r", "a"));
            fixture.engine.streams.get(0).tokens(0L, "a");
            for (int i = 1; i <= 2 * fixture.limits.resumeLimit(); i++) {
                fixture.clock.advance(fixture.limits.streamSilenceMillis());
                fixture.tick();
                assertEquals(1 + i, fixture.engine.streams.size());
                assertEquals(AttemptState.RUNNING, fixture.poll("r", 0L).getState());
            }
            fixture.engine.streams.get(3).tokens(1L, "old");
            fixture.engine.streams.get(fixture.engine.streams.size() - 1).tokens(1L, "b");
            fixture.engine.streams.get(fixture.engine.streams.size() - 1).finish(2L);
            assertEquals("ab", text(fixture.poll("r", 0L)));
        }
    }

    // As before, but a token is missing inside the stream, or the end comes before the last token.
    @Test
    void reopensStreamAfterGapOrEarlyEnd() {
        try (SideFixture fixture = new SideFixture().start(1L).tickAndCompleteOrders()) {
            submit(fixture, modelCall("r", "a"));
            fixture.engine.streams.get(0).tokens(0L, "a");
            fixture.engine.streams.get(0).tokens(2L, "c");
            fixture.engine.streams.get(1).tokens(1L, "b");
            fixture.engine.streams.get(1).finish(3L);
            fixture.engine.streams.get(2).tokens(2L, "c");
            fixture.engine.streams.get(2).finish(3L);
            assertEquals("abc", text(fixture.poll("r", 0L)));
            assertEquals(AttemptState.DONE, fixture.poll("r", 3L).getState());
        }
    }

    // The caller sends the same request again and takes one target down after the other. The engine restarts while
    // two requests run; both are recorded and pushed to every other side of the service before they fail: what a
    // side is known to hold lags, so one that shows another model may have loaded this one by now.
    @Test
    void recordsAndPushesSuspectsBeforeFailingAttemptsAfterCrash() {
        try (SideFixture fixture = new SideFixture().start(1L).tickAndCompleteOrders()) {
            fixture.membership.add("side-2", 1L, SideFixture.MODEL_A);
            fixture.membership.add("side-3", 1L, SideFixture.MODEL_B);
            submit(fixture, modelCall("r1", "a"));
            submit(fixture, modelCall("r2", "a"));
            List<AttemptState> whenPushed = new ArrayList<>();
            fixture.onNotice = () -> whenPushed.add(fixture.poll("r1", 0L).getState());
            fixture.engine.restart();
            fixture.engine.streams.get(0).cut();
            fixture.engine.streams.get(1).cut();
            Refusal failure = awaitEnd(fixture, "r1").getFailure();
            assertEquals(RefusalReason.TARGET_DOWN, failure.getReason());
            assertEquals(Execution.UNKNOWN, failure.getExecution());
            awaitEnd(fixture, "r2");
            assertEquals(List.of("recorded", "pushed", "pushed"), fixture.events);
            assertEquals(List.of(AttemptState.RUNNING, AttemptState.RUNNING), whenPushed);
            assertEquals(2, fixture.notices.get(0).getSuspects().size());
            assertEquals(
                    RefusalReason.NOT_READY,
                    refusal(fixture, modelCall("r3", "a")).getReason());
        }
    }

    @Test
    void runsOneSuspectAtATimeAndRejectsQuarantinedRequests() {
        try (SideFixture fixture = new SideFixture().start(1L).tickAndCompleteOrders()) {
            fixture.suspects.standings.put((long) "s1".hashCode(), Standing.SUSPECT);
            fixture.suspects.standings.put((long) "s2".hashCode(), Standing.SUSPECT);
            fixture.suspects.standings.put((long) "q".hashCode(), Standing.QUARANTINED);
            assertTrue(submit(fixture, modelCall("s1", "a")).isAccepted());
            assertEquals(
                    RefusalReason.SUSPECT_BUSY,
                    refusal(fixture, modelCall("s2", "a")).getReason());
            assertEquals(
                    RefusalReason.QUARANTINED,
                    refusal(fixture, modelCall("q", "a")).getReason());
            fixture.engine.streams.get(0).finish(0L);
            assertTrue(submit(fixture, modelCall("s2b", "a")).isAccepted());
        }
    }

    // The caller sees its answer cut off, or is told that a call did not run which did, when a VM is replaced. One
    // answer streams and one call waits as the side leaves: the first ends and is fetched, the second is refused
    // truthfully, and only then is the drain over.
    @Test
    void drainCompletesRunningAndRejectsQueuedAttempts() {
        try (SideFixture fixture = new SideFixture()) {
            fixture.maxConcurrent = 1;
            fixture.start(1L).tickAndCompleteOrders();
            submit(fixture, modelCall("running", "a"));
            submit(fixture, modelCall("queued", "a"));
            CompletableFuture<Void> drained = fixture.node.drain(60_000L);
            assertEquals(
                    RefusalReason.LEAVING,
                    refusal(fixture, modelCall("new", "a")).getReason());
            assertEquals(SideState.LEAVING, fixture.node.state());
            Refusal refused = fixture.poll("queued", 0L).getFailure();
            assertEquals(Execution.DID_NOT_RUN, refused.getExecution());
            fixture.engine.streams.get(0).tokens(0L, "whole");
            fixture.engine.streams.get(0).finish(1L);
            assertFalse(drained.isDone());
            assertEquals("whole", text(fixture.poll("running", 0L)));
            fixture.clock.advance(2_000L);
            await(drained);
            assertEquals(SideState.GONE, fixture.node.state());
        }
    }

    // An entry polls the end of an answer and the side leaves. The end is still in the side's socket, or its
    // connection has gone silent, and the side exits at once: the entry asks again, reaches nobody, and tells its
    // caller that it is unknown whether the call ran. The side stays until an entry that lost the end would have
    // asked again.
    @Test
    void drainWaitsForResentPollOfEnd() {
        try (SideFixture fixture = new SideFixture().start(1L).tickAndCompleteOrders()) {
            submit(fixture, modelCall("r", "a"));
            fixture.engine.streams.get(0).tokens(0L, "whole");
            fixture.engine.streams.get(0).finish(1L);
            assertEquals("whole", text(fixture.poll("r", 0L)));
            CompletableFuture<Void> drained = fixture.node.drain(60_000L);
            assertFalse(drained.isDone());
            assertEquals("whole", text(fixture.poll("r", 0L)));
            fixture.clock.advance(2_000L);
            await(drained);
        }
    }

    @Test
    void rejectsSubmissionsThatCannotRunHere() {
        try (SideFixture fixture = new SideFixture().start(1L)) {
            assertEquals(
                    RefusalReason.NOT_RESIDENT,
                    refusal(fixture, modelCall("r1", "a")).getReason());
            fixture.tickAndCompleteOrders();
            assertEquals(
                    RefusalReason.NOT_RESIDENT,
                    refusal(fixture, modelCall("r2", "b")).getReason());
            assertEquals(
                    RefusalReason.MALFORMED,
                    refusal(fixture, fixture.plainCall("r3", 1L)).getReason());
            Submission late = modelCall("r4", "a");
            late.setBudgetMillis(0L);
            Refusal refusal = refusal(fixture, late);
            assertEquals(RefusalReason.DEADLINE, refusal.getReason());
            assertEquals(Execution.DID_NOT_RUN, refusal.getExecution());
            assertTrue(refusal.getRetryAfterMillis() > 0L);
        }
    }

    @Test
    void startsHighestPriorityFirstAndBoundsQueue() {
        try (SideFixture fixture = new SideFixture()) {
            fixture.maxConcurrent = 1;
            fixture.limits = fixture.limits.withQueueLimit(2);
            fixture.start(1L).tickAndCompleteOrders();
            submit(fixture, modelCall("first", "a"));
            submit(fixture, modelCall("low", "a"));
            Submission urgent = modelCall("urgent", "a");
            urgent.getModel().setPriority(9);
            submit(fixture, urgent);
            assertEquals(
                    RefusalReason.OVERLOADED,
                    refusal(fixture, modelCall("over", "a")).getReason());
            fixture.engine.streams.get(0).finish(0L);
            assertEquals("urgent", fixture.engine.streams.get(1).generation().id());
        }
    }

    // Targets work for nobody: an entry died and nobody polls its attempts any more.
    @Test
    void cancelsAttemptThatIsNoLongerPolled() {
        try (SideFixture fixture = new SideFixture().start(1L).tickAndCompleteOrders()) {
            submit(fixture, modelCall("r", "a"));
            fixture.clock.advance(fixture.limits.unpolledLimitMillis() + 1L);
            fixture.tick();
            assertEquals(AttemptState.CANCELLED, fixture.poll("r", 0L).getState());
            assertEquals(List.of("r"), fixture.engine.cancelled);
        }
    }

    // The caller pays twice. The entry heard nothing, withdrew the attempt at this side and would now make a new
    // one; the first submission arrives late. Before, between and after, the service is called once.
    @Test
    void neverRunsWithdrawnOrExpiredAttemptAndRunsResentOneOnce() {
        List<PlainService.Call> calls = new ArrayList<>();
        CompletableFuture<PlainService.Answer> lost =
                CompletableFuture.failedFuture(new TargetException(Kind.LOST, "answer lost", null));
        try (SideFixture fixture = new SideFixture().startPlain(call -> {
            calls.add(call);
            return lost;
        })) {
            var withdrawn = await(fixture.node.resolve(new ResolveRequest("w", true, 1L)));
            assertEquals(Execution.DID_NOT_RUN, withdrawn.getExecution());
            assertEquals(
                    RefusalReason.WITHDRAWN,
                    refusal(fixture, fixture.plainCall("w", 1L)).getReason());
            assertEquals(
                    RefusalReason.WRONG_EPOCH,
                    refusal(fixture, fixture.plainCall("e", 7L)).getReason());
            Submission stale = fixture.plainCall("s", 1L);
            fixture.clock.advance(fixture.limits.attemptRetentionMillis());
            assertEquals(Execution.UNKNOWN, refusal(fixture, stale).getExecution());
            assertTrue(calls.isEmpty());
            submit(fixture, fixture.plainCall("once", 1L));
            submit(fixture, fixture.plainCall("once", 1L));
            assertEquals(1, calls.size());
            assertEquals(
                    Execution.UNKNOWN, fixture.poll("once", 0L).getFailure().getExecution());
            var foreign = await(fixture.node.resolve(new ResolveRequest("once", true, 7L)));
            assertEquals(Execution.UNKNOWN, foreign.getExecution());
        }
    }

    // The caller never learns whether it paid: its entry cancelled the call when the caller hung up, the service
    // answered afterwards, and the outcome was dropped. A call handed over is let go on and its outcome kept.
    @Test
    void keepsOutcomeOfNonIdempotentCallCancelledAfterStart() {
        CompletableFuture<PlainService.Answer> answer = new CompletableFuture<>();
        try (SideFixture fixture = new SideFixture().startPlain(call -> answer)) {
            submit(fixture, fixture.plainCall("p", 1L));
            await(fixture.node.cancel("p"));
            answer.complete(new PlainService.Answer(201, "text/plain", new byte[] {7}));
            PollAnswer kept = fixture.poll("p", 0L);
            assertEquals(AttemptState.DONE, kept.getState());
            assertEquals(201, kept.getStatusCode());
            var resolved = await(fixture.node.resolve(new ResolveRequest("p", true, 1L)));
            assertEquals(Execution.RAN, resolved.getExecution());
        }
    }

    @Test
    void publishesResidencyAndDemand() {
        try (SideFixture fixture = new SideFixture().start(1L).tickAndCompleteOrders()) {
            submit(fixture, modelCall("r", "a"));
            fixture.clock.advance(6_000L);
            fixture.tick();
            var record = fixture.membership.published.get(fixture.membership.published.size() - 1);
            assertEquals(SideState.SERVING, record.getState());
            assertTrue(record.getItems().get(0).isResident());
            assertEquals(1, record.getItems().get(0).getDemandStep());
            assertEquals(1 + 6, SideRecordPublisher.demandStep(8.0));
        }
    }

    private static SubmitAnswer submit(SideFixture fixture, Submission submission) {
        return await(fixture.node.submit(submission));
    }

    private static Refusal refusal(SideFixture fixture, Submission submission) {
        SubmitAnswer answer = submit(fixture, submission);
        assertFalse(answer.isAccepted());
        return answer.getRefusal();
    }

    private static PollAnswer awaitEnd(SideFixture fixture, String attemptId) {
        return await(fixture.node.poll(new io.waxwingquay.transport.generated.PollRequest(attemptId, 0L, 20_000L)));
    }

    private static String text(PollAnswer answer) {
        StringBuilder text = new StringBuilder();
        answer.getChunks().forEach(chunk -> text.append(new String(chunk.getBytes(), StandardCharsets.UTF_8)));
        return text.toString();
    }
}
