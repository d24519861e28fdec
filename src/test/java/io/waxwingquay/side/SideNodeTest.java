package io.waxwingquay.side;

import static io.waxwingquay.side.SideBench.await;
import static io.waxwingquay.side.SideBench.modelCall;
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
    void streamsAWholeAnswerWithItsTotal() {
        try (SideBench bench = new SideBench().start(1L).settle()) {
            assertTrue(submit(bench, modelCall("r", "a")).isAccepted());
            bench.engine.streams.get(0).tokens(0L, "he", "llo");
            PollAnswer part = bench.poll("r", 0L);
            assertEquals("hello", text(part));
            assertFalse(part.isSetTotalUnits());
            bench.engine.streams.get(0).finish(2L);
            PollAnswer rest = bench.poll("r", 1L);
            assertEquals("llo", text(rest));
            assertEquals(AttemptState.DONE, rest.getState());
            assertEquals(2L, rest.getTotalUnits());
        }
    }

    // The caller sees its answer stop half way, doubled or short. The stream from the engine is cut after two
    // tokens while the engine goes on; the side opens it again from the third and drops what it has already.
    @Test
    void resumesByOffsetWhenTheEnginesStreamIsCut() {
        try (SideBench bench = new SideBench().start(1L).settle()) {
            submit(bench, modelCall("r", "a"));
            bench.engine.streams.get(0).tokens(0L, "a", "b");
            bench.engine.streams.get(0).cut();
            assertEquals(2, bench.engine.streams.size());
            assertEquals(2L, bench.engine.streams.get(1).fromOffset());
            assertEquals("r", bench.engine.streams.get(1).generation().id());
            bench.engine.streams.get(0).tokens(2L, "late");
            bench.engine.streams.get(1).tokens(1L, "b", "c");
            bench.engine.streams.get(1).finish(3L);
            PollAnswer answer = bench.poll("r", 0L);
            assertEquals("abc", text(answer));
            assertEquals(3L, answer.getTotalUnits());
        }
    }

    // The caller sees its answer stop and never end. The connection to the engine has gone silent for good while
    // new ones work; the side opens another and goes on from the next token, as often as it takes.
    @Test
    void opensASilentStreamAfresh() {
        try (SideBench bench = new SideBench().start(1L).settle()) {
            submit(bench, modelCall("r", "a"));
            bench.engine.streams.get(0).tokens(0L, "a");
            for (int i = 1; i <= 2 * bench.limits.resumeLimit(); i++) {
                bench.clock.advance(bench.limits.streamSilenceMillis());
                bench.tick();
                assertEquals(1 + i, bench.engine.streams.size());
                assertEquals(AttemptState.RUNNING, bench.poll("r", 0L).getState());
            }
            bench.engine.streams.get(3).tokens(1L, "old");
            bench.engine.streams.get(bench.engine.streams.size() - 1).tokens(1L, "b");
            bench.engine.streams.get(bench.engine.streams.size() - 1).finish(2L);
            assertEquals("ab", text(bench.poll("r", 0L)));
        }
    }

    // As before, but a token is missing inside the stream, or the end comes before the last token.
    @Test
    void fillsAGapAndAShortEndByOpeningTheStreamAgain() {
        try (SideBench bench = new SideBench().start(1L).settle()) {
            submit(bench, modelCall("r", "a"));
            bench.engine.streams.get(0).tokens(0L, "a");
            bench.engine.streams.get(0).tokens(2L, "c");
            bench.engine.streams.get(1).tokens(1L, "b");
            bench.engine.streams.get(1).finish(3L);
            bench.engine.streams.get(2).tokens(2L, "c");
            bench.engine.streams.get(2).finish(3L);
            assertEquals("abc", text(bench.poll("r", 0L)));
            assertEquals(AttemptState.DONE, bench.poll("r", 3L).getState());
        }
    }

    // The caller sends the same request again and takes one target down after the other. The engine restarts while
    // two requests run; both are recorded and pushed to every other side of the service before they fail: what a
    // side is known to hold lags, so one that shows another model may have loaded this one by now.
    @Test
    void namesSuspectsAndPushesThemBeforeAnAttemptFailsInACrash() {
        try (SideBench bench = new SideBench().start(1L).settle()) {
            bench.sides.add("side-2", 1L, SideBench.MODEL_A);
            bench.sides.add("side-3", 1L, SideBench.MODEL_B);
            submit(bench, modelCall("r1", "a"));
            submit(bench, modelCall("r2", "a"));
            List<AttemptState> whenPushed = new ArrayList<>();
            bench.onPush = () -> whenPushed.add(bench.poll("r1", 0L).getState());
            bench.engine.restart();
            bench.engine.streams.get(0).cut();
            bench.engine.streams.get(1).cut();
            Refusal failure = awaitEnd(bench, "r1").getFailure();
            assertEquals(RefusalReason.TARGET_DOWN, failure.getReason());
            assertEquals(Execution.UNKNOWN, failure.getExecution());
            awaitEnd(bench, "r2");
            assertEquals(List.of("recorded", "pushed", "pushed"), bench.events);
            assertEquals(List.of(AttemptState.RUNNING, AttemptState.RUNNING), whenPushed);
            assertEquals(2, bench.notices.get(0).getSuspects().size());
            assertEquals(
                    RefusalReason.NOT_READY,
                    refusal(bench, modelCall("r3", "a")).getReason());
        }
    }

    @Test
    void runsOneSuspectAtATimeAndNoQuarantinedRequest() {
        try (SideBench bench = new SideBench().start(1L).settle()) {
            bench.suspects.standings.put((long) "s1".hashCode(), Standing.SUSPECT);
            bench.suspects.standings.put((long) "s2".hashCode(), Standing.SUSPECT);
            bench.suspects.standings.put((long) "q".hashCode(), Standing.QUARANTINED);
            assertTrue(submit(bench, modelCall("s1", "a")).isAccepted());
            assertEquals(
                    RefusalReason.SUSPECT_BUSY,
                    refusal(bench, modelCall("s2", "a")).getReason());
            assertEquals(
                    RefusalReason.QUARANTINED,
                    refusal(bench, modelCall("q", "a")).getReason());
            bench.engine.streams.get(0).finish(0L);
            assertTrue(submit(bench, modelCall("s2b", "a")).isAccepted());
        }
    }

    // The caller sees its answer cut off, or is told that a call did not run which did, when a VM is replaced. One
    // answer streams and one call waits as the side leaves: the first ends and is fetched, the second is refused
    // truthfully, and only then is the drain over.
    @Test
    void drainCutsNothing() {
        try (SideBench bench = new SideBench()) {
            bench.maxConcurrent = 1;
            bench.start(1L).settle();
            submit(bench, modelCall("running", "a"));
            submit(bench, modelCall("queued", "a"));
            CompletableFuture<Void> drained = bench.node.drain(60_000L);
            assertEquals(
                    RefusalReason.LEAVING, refusal(bench, modelCall("new", "a")).getReason());
            assertEquals(SideState.LEAVING, bench.node.state());
            Refusal refused = bench.poll("queued", 0L).getFailure();
            assertEquals(Execution.DID_NOT_RUN, refused.getExecution());
            bench.engine.streams.get(0).tokens(0L, "whole");
            bench.engine.streams.get(0).finish(1L);
            assertFalse(drained.isDone());
            assertEquals("whole", text(bench.poll("running", 0L)));
            bench.clock.advance(2_000L);
            await(drained);
            assertEquals(SideState.GONE, bench.node.state());
        }
    }

    // An entry polls the end of an answer and the side leaves. The end is still in the side's socket, or its
    // connection has gone silent, and the side exits at once: the entry asks again, reaches nobody, and tells its
    // caller that it is unknown whether the call ran. The side stays until an entry that lost the end would have
    // asked again.
    @Test
    void drainStaysForAnEndThatHasToBeToldAgain() {
        try (SideBench bench = new SideBench().start(1L).settle()) {
            submit(bench, modelCall("r", "a"));
            bench.engine.streams.get(0).tokens(0L, "whole");
            bench.engine.streams.get(0).finish(1L);
            assertEquals("whole", text(bench.poll("r", 0L)));
            CompletableFuture<Void> drained = bench.node.drain(60_000L);
            assertFalse(drained.isDone());
            assertEquals("whole", text(bench.poll("r", 0L)));
            bench.clock.advance(2_000L);
            await(drained);
        }
    }

    @Test
    void refusesAtTheDoorWhatCannotRunHere() {
        try (SideBench bench = new SideBench().start(1L)) {
            assertEquals(
                    RefusalReason.NOT_RESIDENT,
                    refusal(bench, modelCall("r1", "a")).getReason());
            bench.settle();
            assertEquals(
                    RefusalReason.NOT_RESIDENT,
                    refusal(bench, modelCall("r2", "b")).getReason());
            assertEquals(
                    RefusalReason.MALFORMED,
                    refusal(bench, bench.plainCall("r3", 1L)).getReason());
            Submission late = modelCall("r4", "a");
            late.setBudgetMillis(0L);
            Refusal refusal = refusal(bench, late);
            assertEquals(RefusalReason.DEADLINE, refusal.getReason());
            assertEquals(Execution.DID_NOT_RUN, refusal.getExecution());
            assertTrue(refusal.getRetryAfterMillis() > 0L);
        }
    }

    @Test
    void startsTheHighestPriorityFirstAndBoundsTheQueue() {
        try (SideBench bench = new SideBench()) {
            bench.maxConcurrent = 1;
            bench.limits = bench.limits.withQueueLimit(2);
            bench.start(1L).settle();
            submit(bench, modelCall("first", "a"));
            submit(bench, modelCall("low", "a"));
            Submission urgent = modelCall("urgent", "a");
            urgent.getModel().setPriority(9);
            submit(bench, urgent);
            assertEquals(
                    RefusalReason.OVERLOADED,
                    refusal(bench, modelCall("over", "a")).getReason());
            bench.engine.streams.get(0).finish(0L);
            assertEquals("urgent", bench.engine.streams.get(1).generation().id());
        }
    }

    // Targets work for nobody: an entry died and nobody polls its attempts any more.
    @Test
    void cancelsAnAttemptWhoseEntryHasGone() {
        try (SideBench bench = new SideBench().start(1L).settle()) {
            submit(bench, modelCall("r", "a"));
            bench.clock.advance(bench.limits.unpolledLimitMillis() + 1L);
            bench.tick();
            assertEquals(AttemptState.CANCELLED, bench.poll("r", 0L).getState());
            assertEquals(List.of("r"), bench.engine.cancelled);
        }
    }

    // The caller pays twice. The entry heard nothing, withdrew the attempt at this side and would now make a new
    // one; the first submission arrives late. Before, between and after, the service is called once.
    @Test
    void neverRunsAWithdrawnOrRepeatedOrForeignAttempt() {
        List<PlainService.Call> calls = new ArrayList<>();
        CompletableFuture<PlainService.Answer> lost =
                CompletableFuture.failedFuture(new TargetException(Kind.LOST, "answer lost", null));
        try (SideBench bench = new SideBench().startPlain(call -> {
            calls.add(call);
            return lost;
        })) {
            var withdrawn = await(bench.node.resolve(new ResolveRequest("w", true, 1L)));
            assertEquals(Execution.DID_NOT_RUN, withdrawn.getExecution());
            assertEquals(
                    RefusalReason.WITHDRAWN,
                    refusal(bench, bench.plainCall("w", 1L)).getReason());
            assertEquals(
                    RefusalReason.WRONG_EPOCH,
                    refusal(bench, bench.plainCall("e", 7L)).getReason());
            Submission stale = bench.plainCall("s", 1L);
            bench.clock.advance(bench.limits.attemptRetentionMillis());
            assertEquals(Execution.UNKNOWN, refusal(bench, stale).getExecution());
            assertTrue(calls.isEmpty());
            submit(bench, bench.plainCall("once", 1L));
            submit(bench, bench.plainCall("once", 1L));
            assertEquals(1, calls.size());
            assertEquals(Execution.UNKNOWN, bench.poll("once", 0L).getFailure().getExecution());
            var foreign = await(bench.node.resolve(new ResolveRequest("once", true, 7L)));
            assertEquals(Execution.UNKNOWN, foreign.getExecution());
        }
    }

    // The caller never learns whether it paid: its entry cancelled the call when the caller hung up, the service
    // answered afterwards, and the outcome was dropped. A call handed over is let go on and its outcome kept.
    @Test
    void keepsTheOutcomeOfANonIdempotentCallThatIsCancelledTooLate() {
        CompletableFuture<PlainService.Answer> answer = new CompletableFuture<>();
        try (SideBench bench = new SideBench().startPlain(call -> answer)) {
            submit(bench, bench.plainCall("p", 1L));
            await(bench.node.cancel("p"));
            answer.complete(new PlainService.Answer(201, "text/plain", new byte[] {7}));
            PollAnswer kept = bench.poll("p", 0L);
            assertEquals(AttemptState.DONE, kept.getState());
            assertEquals(201, kept.getStatusCode());
            var resolved = await(bench.node.resolve(new ResolveRequest("p", true, 1L)));
            assertEquals(Execution.RAN, resolved.getExecution());
        }
    }

    @Test
    void publishesResidencyAndDemand() {
        try (SideBench bench = new SideBench().start(1L).settle()) {
            submit(bench, modelCall("r", "a"));
            bench.clock.advance(6_000L);
            bench.tick();
            var record = bench.sides.published.get(bench.sides.published.size() - 1);
            assertEquals(SideState.SERVING, record.getState());
            assertTrue(record.getItems().get(0).isResident());
            assertEquals(1, record.getItems().get(0).getDemandStep());
            assertEquals(1 + 6, SideRecordPublisher.demandStep(8.0));
        }
    }

    private static SubmitAnswer submit(SideBench bench, Submission submission) {
        return await(bench.node.submit(submission));
    }

    private static Refusal refusal(SideBench bench, Submission submission) {
        SubmitAnswer answer = submit(bench, submission);
        assertFalse(answer.isAccepted());
        return answer.getRefusal();
    }

    private static PollAnswer awaitEnd(SideBench bench, String attemptId) {
        return await(bench.node.poll(new io.waxwingquay.transport.generated.PollRequest(attemptId, 0L, 20_000L)));
    }

    private static String text(PollAnswer answer) {
        StringBuilder text = new StringBuilder();
        answer.getChunks().forEach(chunk -> text.append(new String(chunk.getBytes(), StandardCharsets.UTF_8)));
        return text.toString();
    }
}
