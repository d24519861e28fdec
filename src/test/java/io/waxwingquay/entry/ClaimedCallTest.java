package io.waxwingquay.entry;

import static io.waxwingquay.entry.CallerClient.deposit;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.claim.ClaimRecord;
import io.waxwingquay.claim.ClaimStore;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.Refusal;
import io.waxwingquay.transport.generated.RefusalReason;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ClaimedCallTest {

    private static final String BODY = "{\"amount\":5}";
    private static final String ROW = ClaimStore.rowKey("pay", "k1");

    private static final int OUTCOME_TRIES = 8;

    private final Fakes fakes = new Fakes();
    private final EntryNode one = fakes.node();
    private final EntryNode two = fakes.node();

    @AfterEach
    void close() {
        one.close();
        two.close();
    }

    @Test
    void resendThroughAnotherEntryIsAnsweredFromTheFirstRun() {
        // The caller sends a deposit twice through different entries and sees the same answer. It runs once:
        // the second entry finds the claim, and then the outcome in the row or at the side that ran it.
        assertEquals("one two three", deposit(one, "k1", BODY).body());
        CallerClient.Answer again = deposit(two, "k1", BODY);
        assertEquals("one two three", again.body());
        assertEquals(
                "true", again.raw().headers().firstValue("Idempotency-Replayed").orElseThrow());
        assertEquals(1, runs());
    }

    @Test
    void resendWhileTheFirstRunIsInProgressIsToldSo() {
        // The caller resends through another entry while the first run goes on and sees 409 with execution
        // unknown; when the run has ended, both sends get its answer.
        fakes.first.running = true;
        CompletableFuture<Void> polled = new CompletableFuture<>();
        fakes.first.pollHold = () -> {
            polled.complete(null);
            return CompletableFuture.completedFuture(null);
        };
        CompletableFuture<CallerClient.Answer> sent =
                CallerClient.send(one, "/v1/services/pay/deposit", BODY, "Idempotency-Key", "k1");
        polled.join();
        CallerClient.Answer early = deposit(two, "k1", BODY);
        assertEquals(409, early.status());
        assertEquals("in_progress", early.error("code"));
        assertEquals("unknown", early.error("execution"));
        fakes.first.running = false;
        assertEquals(200, sent.join().status());
        assertEquals("one two three", deposit(two, "k1", BODY).body());
        assertEquals(1, runs());
    }

    @Test
    void tableAnswerLostAfterTheWriteRunsOnce() {
        fakes.table.failCommits(FakeTable.Fault.LOSE_ANSWER);
        assertEquals(200, deposit(one, "k1", BODY).status());
        assertEquals(200, deposit(two, "k1", BODY).status());
        assertEquals(1, runs());
    }

    @Test
    void tableOutRefusesAtOnceWithoutRunning() {
        fakes.table.setUnavailable(true);
        CallerClient.Answer answer = deposit(one, "k1", BODY);
        assertEquals(503, answer.status());
        assertEquals("table_out", answer.error("code"));
        assertEquals("did_not_run", answer.error("execution"));
        assertTrue(answer.raw().headers().firstValue("Retry-After").isPresent());
        assertEquals(0, fakes.first.submissions + fakes.second.submissions);
    }

    @Test
    void idempotentOperationNeedsNoTable() {
        fakes.table.setUnavailable(true);
        assertEquals(
                200,
                CallerClient.send(one, "/v1/services/pay/quote", BODY).join().status());
    }

    @Test
    void holderThatPausedAfterItsClaimCannotRunTheCallLate() {
        // The caller sends a deposit; its entry claims and pauses before it hands the call on. The resend
        // through another entry withdraws that attempt and runs the call. The first entry goes on, its late
        // attempt is refused by the side, and it answers from the run that took place: one run in all.
        CompletableFuture<Void> pause = new CompletableFuture<>();
        fakes.table.holdCommit(pause);
        CompletableFuture<CallerClient.Answer> paused =
                CallerClient.send(one, "/v1/services/pay/deposit", BODY, "Idempotency-Key", "k1");
        await(() -> fakes.table.row(ROW).isPresent());
        assertEquals(200, deposit(two, "k1", BODY).status());
        pause.complete(null);
        assertEquals("one two three", paused.join().body());
        assertEquals(1, runs());
    }

    @Test
    void claimWhoseSideWasRestartedStaysUnknownAndIsNeverRunAgain() {
        // The caller's deposit may have run in a side that then lost its memory. A resend sees 409 unknown,
        // each time: a second run could take the deposit twice.
        fakes.first.submitFaults.addAll(Collections.nCopies(5, FakeSide.Fault.LOSE_ANSWER));
        assertEquals("unknown", deposit(one, "k1", BODY).error("execution"));
        fakes.first.restart();
        for (EntryNode node : List.of(one, two)) {
            CallerClient.Answer answer = deposit(node, "k1", BODY);
            assertEquals(409, answer.status());
            assertEquals("outcome_unknown", answer.error("code"));
            assertEquals("unknown", answer.error("execution"));
        }
        assertEquals(1, runs());
    }

    @Test
    void sideRestartedBetweenLostSubmissionAndResumeIsUnknown() {
        // The side runs the call, its answer is lost, and the side restarts before the entry asks again. The
        // new epoch truthfully refuses the old attempt as not run by it; the caller is told unknown.
        fakes.first.submitFaults.add(FakeSide.Fault.LOSE_ANSWER_AND_RESTART);
        CallerClient.Answer answer = deposit(one, "k1", BODY);
        assertEquals("unknown", answer.error("execution"), answer.body());
        assertEquals(1, runs());
    }

    @Test
    void refusedCallMovesToAnotherSideAndRunsThereOnce() {
        fakes.first.refusals.add(new Refusal(RefusalReason.LEAVING, "leaving", 0, Execution.DID_NOT_RUN));
        assertEquals(200, deposit(one, "k1", BODY).status());
        assertEquals(List.of("k1"), fakes.second.runs);
    }

    @Test
    void resendOfACallRefusedAtTheDoorRuns() throws Exception {
        // Both sides refuse the first try at the door, and the table is out when its entry writes that it did not
        // run. The row says claimed and the side has never heard of the attempt. The resend withdraws it there and
        // runs the call; before, it was told that the outcome is unknown, for ever.
        fakes.first.refusals.add(new Refusal(RefusalReason.LEAVING, "leaving", 0, Execution.DID_NOT_RUN));
        fakes.second.refusals.add(new Refusal(RefusalReason.LEAVING, "leaving", 0, Execution.DID_NOT_RUN));
        fakes.table.failCommits(FakeTable.Fault.NONE, FakeTable.Fault.NONE);
        fakes.table.failCommits(
                Collections.nCopies(OUTCOME_TRIES, FakeTable.Fault.UNAVAILABLE).toArray(FakeTable.Fault[]::new));
        assertEquals("did_not_run", deposit(one, "k1", BODY).error("execution"));
        await(() -> fakes.table.commits() >= 2 + OUTCOME_TRIES);
        CallerClient.Answer again = deposit(two, "k1", BODY);
        assertEquals(200, again.status(), again.body());
        assertEquals(1, runs());
    }

    @Test
    void sideThatIsNotReachedLeavesTheClaimFreeForAnother() {
        fakes.first.submitFaults.add(FakeSide.Fault.UNREACHED);
        assertEquals(200, deposit(one, "k1", BODY).status());
        assertEquals(List.of("k1"), fakes.second.runs);
    }

    @Test
    void sameKeyWithAnotherBodyIsRefusedByName() {
        deposit(one, "k1", BODY);
        CallerClient.Answer answer = deposit(two, "k1", "{\"amount\":6}");
        assertEquals(422, answer.status());
        assertEquals("k1", answer.error("element"));
        assertEquals(1, runs());
    }

    @Test
    void outcomeIsRecordedAfterTheTableComesBack() {
        // The caller is answered at once although the outcome cannot be written; the write is repeated behind
        // its back until the table answers again.
        fakes.table.failCommits(
                FakeTable.Fault.NONE,
                FakeTable.Fault.UNAVAILABLE,
                FakeTable.Fault.UNAVAILABLE,
                FakeTable.Fault.UNAVAILABLE);
        assertEquals(200, deposit(one, "k1", BODY).status());
        await(() -> fakes.table
                .row(ROW)
                .map(row -> ClaimRecord.ofJson(row.value()).state())
                .filter(state -> state == ClaimRecord.State.SETTLED)
                .isPresent());
    }

    @Test
    void manySendersOfOneKeyRunItOnce() {
        List<CompletableFuture<CallerClient.Answer>> sent = new ArrayList<>();
        for (int number = 0; number < 20; number++) {
            EntryNode node = number % 2 == 0 ? one : two;
            sent.add(CallerClient.send(node, "/v1/services/pay/deposit", BODY, "Idempotency-Key", "k1"));
        }
        sent.forEach(answer -> assertTrue(
                List.of(200, 409).contains(answer.join().status()),
                answer.join().body()));
        assertEquals(1, runs());
    }

    private int runs() {
        return fakes.first.runs.size() + fakes.second.runs.size();
    }

    private static void await(java.util.function.BooleanSupplier condition) {
        long limit = System.nanoTime() + 20_000_000_000L;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < limit, "the condition never came true");
            Thread.onSpinWait();
        }
    }
}
