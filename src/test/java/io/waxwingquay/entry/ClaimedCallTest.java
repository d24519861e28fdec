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

    private static final int MAXIMUM_OUTCOME_ATTEMPTS = 8;

    private final FakeCluster cluster = new FakeCluster();
    private final EntryNode firstEntry = cluster.startEntry();
    private final EntryNode secondEntry = cluster.startEntry();

    @AfterEach
    void close() {
        firstEntry.close();
        secondEntry.close();
    }

    @Test
    void resendThroughAnotherEntryIsAnsweredFromTheFirstRun() {
        // The caller sends a deposit twice through different entries and sees the same answer. It runs once:
        // the second entry finds the claim, and then the outcome in the row or at the side that ran it.
        assertEquals("one two three", deposit(firstEntry, "k1", BODY).body());
        CallerClient.Answer resent = deposit(secondEntry, "k1", BODY);
        assertEquals("one two three", resent.body());
        assertEquals(
                "true",
                resent.response().headers().firstValue("Idempotency-Replayed").orElseThrow());
        assertEquals(1, runCount());
    }

    @Test
    void resendDuringTheFirstRunIsAnsweredInProgress() {
        // The caller resends through another entry while the first run goes on and sees 409 with execution
        // unknown; when the run has ended, both sends get its answer.
        cluster.firstSide.keepRunning = true;
        CompletableFuture<Void> polled = new CompletableFuture<>();
        cluster.firstSide.pollDelay = () -> {
            polled.complete(null);
            return CompletableFuture.completedFuture(null);
        };
        CompletableFuture<CallerClient.Answer> sent =
                CallerClient.send(firstEntry, "/v1/services/pay/deposit", BODY, "Idempotency-Key", "k1");
        polled.join();
        CallerClient.Answer resent = deposit(secondEntry, "k1", BODY);
        assertEquals(409, resent.status());
        assertEquals("in_progress", resent.error("code"));
        assertEquals("unknown", resent.error("execution"));
        cluster.firstSide.keepRunning = false;
        assertEquals(200, sent.join().status());
        assertEquals("one two three", deposit(secondEntry, "k1", BODY).body());
        assertEquals(1, runCount());
    }

    @Test
    void callRunsOnceWhenTheTableAnswerIsLostAfterTheWrite() {
        cluster.table.failCommits(FakeTable.Fault.LOSE_ANSWER);
        assertEquals(200, deposit(firstEntry, "k1", BODY).status());
        assertEquals(200, deposit(secondEntry, "k1", BODY).status());
        assertEquals(1, runCount());
    }

    @Test
    void callIsRejectedWithoutRunningWhileTheTableIsUnavailable() {
        cluster.table.setUnavailable(true);
        CallerClient.Answer answer = deposit(firstEntry, "k1", BODY);
        assertEquals(503, answer.status());
        assertEquals("table_out", answer.error("code"));
        assertEquals("did_not_run", answer.error("execution"));
        assertTrue(answer.response().headers().firstValue("Retry-After").isPresent());
        assertEquals(0, cluster.firstSide.submissions + cluster.secondSide.submissions);
    }

    @Test
    void idempotentOperationNeedsNoTable() {
        cluster.table.setUnavailable(true);
        assertEquals(
                200,
                CallerClient.send(firstEntry, "/v1/services/pay/quote", BODY)
                        .join()
                        .status());
    }

    @Test
    void entryPausedAfterItsClaimCannotRunTheCallLate() {
        // The caller sends a deposit; its entry claims and pauses before it hands the call on. The resend
        // through another entry withdraws that attempt and runs the call. The first entry goes on, its late
        // attempt is refused by the side, and it answers from the run that took place: one run in all.
        CompletableFuture<Void> pause = new CompletableFuture<>();
        cluster.table.holdCommit(pause);
        CompletableFuture<CallerClient.Answer> paused =
                CallerClient.send(firstEntry, "/v1/services/pay/deposit", BODY, "Idempotency-Key", "k1");
        await(() -> cluster.table.row(ROW).isPresent());
        assertEquals(200, deposit(secondEntry, "k1", BODY).status());
        pause.complete(null);
        assertEquals("one two three", paused.join().body());
        assertEquals(1, runCount());
    }

    @Test
    void claimWhoseSideWasRestartedStaysUnknownAndIsNeverRunAgain() {
        // The caller's deposit may have run in a side that then lost its memory. A resend sees 409 unknown,
        // each time: a second run could take the deposit twice.
        cluster.firstSide.submitFaults.addAll(Collections.nCopies(5, FakeSide.Fault.LOSE_ANSWER));
        assertEquals("unknown", deposit(firstEntry, "k1", BODY).error("execution"));
        cluster.firstSide.restart();
        for (EntryNode node : List.of(firstEntry, secondEntry)) {
            CallerClient.Answer answer = deposit(node, "k1", BODY);
            assertEquals(409, answer.status());
            assertEquals("outcome_unknown", answer.error("code"));
            assertEquals("unknown", answer.error("execution"));
        }
        assertEquals(1, runCount());
    }

    @Test
    void sideRestartedBetweenLostSubmissionAndResumeIsUnknown() {
        // The side runs the call, its answer is lost, and the side restarts before the entry asks again. The
        // new epoch truthfully refuses the old attempt as not run by it; the caller is told unknown.
        cluster.firstSide.submitFaults.add(FakeSide.Fault.LOSE_ANSWER_AND_RESTART);
        CallerClient.Answer answer = deposit(firstEntry, "k1", BODY);
        assertEquals("unknown", answer.error("execution"), answer.body());
        assertEquals(1, runCount());
    }

    @Test
    void refusedCallMovesToAnotherSideAndRunsThereOnce() {
        cluster.firstSide.nextRefusals.add(new Refusal(RefusalReason.LEAVING, "leaving", 0, Execution.DID_NOT_RUN));
        assertEquals(200, deposit(firstEntry, "k1", BODY).status());
        assertEquals(List.of("k1"), cluster.secondSide.runs);
    }

    @Test
    void resendOfARejectedCallRuns() throws Exception {
        // Both sides refuse the first try at the door, and the table is out when its entry writes that it did not
        // run. The row says claimed and the side has never heard of the attempt. The resend withdraws it there and
        // runs the call; before, it was told that the outcome is unknown, for ever.
        cluster.firstSide.nextRefusals.add(new Refusal(RefusalReason.LEAVING, "leaving", 0, Execution.DID_NOT_RUN));
        cluster.secondSide.nextRefusals.add(new Refusal(RefusalReason.LEAVING, "leaving", 0, Execution.DID_NOT_RUN));
        cluster.table.failCommits(FakeTable.Fault.NONE, FakeTable.Fault.NONE);
        cluster.table.failCommits(Collections.nCopies(MAXIMUM_OUTCOME_ATTEMPTS, FakeTable.Fault.UNAVAILABLE)
                .toArray(FakeTable.Fault[]::new));
        assertEquals("did_not_run", deposit(firstEntry, "k1", BODY).error("execution"));
        await(() -> cluster.table.commits() >= 2 + MAXIMUM_OUTCOME_ATTEMPTS);
        CallerClient.Answer resent = deposit(secondEntry, "k1", BODY);
        assertEquals(200, resent.status(), resent.body());
        assertEquals(1, runCount());
    }

    @Test
    void callMovesToAnotherSideWhenTheFirstIsUnreachable() {
        cluster.firstSide.submitFaults.add(FakeSide.Fault.UNREACHED);
        assertEquals(200, deposit(firstEntry, "k1", BODY).status());
        assertEquals(List.of("k1"), cluster.secondSide.runs);
    }

    @Test
    void sameKeyWithAnotherBodyIsRejectedNamingTheKey() {
        deposit(firstEntry, "k1", BODY);
        CallerClient.Answer answer = deposit(secondEntry, "k1", "{\"amount\":6}");
        assertEquals(422, answer.status());
        assertEquals("k1", answer.error("element"));
        assertEquals(1, runCount());
    }

    @Test
    void outcomeIsRecordedOnceTheTableIsAvailableAgain() {
        // The caller is answered at once although the outcome cannot be written; the write is repeated behind
        // its back until the table answers again.
        cluster.table.failCommits(
                FakeTable.Fault.NONE,
                FakeTable.Fault.UNAVAILABLE,
                FakeTable.Fault.UNAVAILABLE,
                FakeTable.Fault.UNAVAILABLE);
        assertEquals(200, deposit(firstEntry, "k1", BODY).status());
        await(() -> cluster.table
                .row(ROW)
                .map(row -> ClaimRecord.ofJson(row.value()).state())
                .filter(state -> state == ClaimRecord.State.SETTLED)
                .isPresent());
    }

    @Test
    void concurrentSendsOfOneKeyRunOnce() {
        List<CompletableFuture<CallerClient.Answer>> sent = new ArrayList<>();
        for (int number = 0; number < 20; number++) {
            EntryNode node = number % 2 == 0 ? firstEntry : secondEntry;
            sent.add(CallerClient.send(node, "/v1/services/pay/deposit", BODY, "Idempotency-Key", "k1"));
        }
        sent.forEach(answer -> assertTrue(
                List.of(200, 409).contains(answer.join().status()),
                answer.join().body()));
        assertEquals(1, runCount());
    }

    private int runCount() {
        return cluster.firstSide.runs.size() + cluster.secondSide.runs.size();
    }

    private static void await(java.util.function.BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + 20_000_000_000L;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNanos, "the condition never came true");
            Thread.onSpinWait();
        }
    }
}
