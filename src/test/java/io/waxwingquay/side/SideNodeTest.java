package io.waxwingquay.side;

import static io.waxwingquay.side.SideFixture.await;
import static io.waxwingquay.side.SideFixture.modelCall;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.engine.PlainService;
import io.waxwingquay.engine.TargetException;
import io.waxwingquay.engine.TargetException.Kind;
import io.waxwingquay.suspect.SuspectRegistry.Standing;
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

    // Guards against an answer with missing or repeated tokens. The stream from the engine breaks after two tokens
    // while the generation continues; the side reopens it from the third token and drops tokens that it has received
    // before.
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

    // Guards against an answer that stops without an end. The connection to the engine has gone silent for good while
    // new connections work; the side reopens the stream from the next token, as often as necessary.
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

    // Guards against an answer with missing tokens when the stream skips a token or ends before the last one.
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

    // Guards against a resent request that crashes one target after the other. The engine restarts while two requests
    // run; both are recorded as suspects and pushed to every other side of the service before they fail. Knowledge of
    // the models that a side holds is stale, so a side that shows another model may have loaded this one by now.
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

    // Guards against an answer that is cut off, or a call that ran but is reported as not run, when a VM is replaced.
    // One attempt is running and one is queued when the side leaves. The first ends and its answer is delivered, the
    // second is rejected as not run, and only then is the drain complete.
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

    // Guards against a side that exits before the end of an answer has reached the entry. The reply to the poll may
    // still be in the socket of the side, or its connection may have gone silent; the entry would resend the poll,
    // reach nobody, and report that it is unknown whether the call ran. The side therefore stays until an entry that
    // lost the reply would have resent the poll.
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

    // Guards against targets that run abandoned attempts: an entry has died and nobody polls its attempts any more.
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

    // Guards against a non-idempotent call that runs twice. The entry received no answer, withdrew the attempt and
    // would now create another one; the delayed first submission arrives afterwards. In all, the service is called
    // once.
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

    // Guards against losing the outcome of a non-idempotent call. The entry cancels the call when the caller
    // disconnects, and the service answers afterwards. A call that was sent to the target continues, and its outcome is
    // retained.
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
