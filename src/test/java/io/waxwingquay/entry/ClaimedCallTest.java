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
        // Guards against running a deposit twice when it is resent through another entry. The second entry finds the
        // claim, and the outcome in its row or at the side that ran it.
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
        // The call is resent through another entry while the first run is in progress. The resend must be answered 409
        // with execution unknown; after the run, both sends get its answer.
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
        // An entry claims a deposit and pauses before it submits the attempt. A resend through another entry withdraws
        // that attempt and runs the call. When the first entry resumes, the side must refuse its late attempt, and the
        // entry must answer with the outcome of the only run.
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
        // A deposit may have run at a side that has since lost its state by a restart. Every resend must be answered
        // 409 with execution unknown, because another run could take the deposit twice.
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
        // The side runs the call, its answer is lost, and the side restarts before the entry resumes. The new epoch
        // refuses the attempt as not run, which holds for itself only; the caller must get unknown.
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
        // Both sides reject the first send, and the table is unavailable when the entry records that the call did not
        // run. The row still says claimed, and the side does not know the attempt. The resend must withdraw it there
        // and run the call; otherwise every resend is answered that the outcome is unknown.
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
        // The caller must be answered at once although the outcome cannot be written. The write is retried in the
        // background until the table is available.
        cluster.table.failCommits(
                FakeTable.Fault.NONE,
                FakeTable.Fault.UNAVAILABLE,
                FakeTable.Fault.UNAVAILABLE,
                FakeTable.Fault.UNAVAILABLE);
        assertEquals(200, deposit(firstEntry, "k1", BODY).status());
        await(() -> cluster.table
                .row(ROW)
                .map(row -> ClaimRecord.fromJson(row.value()).state())
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
            assertTrue(System.nanoTime() < deadlineNanos, "the condition was not met in time");
            Thread.onSpinWait();
        }
    }
}
