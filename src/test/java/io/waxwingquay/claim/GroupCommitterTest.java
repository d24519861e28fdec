package io.waxwingquay.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.entry.FakeTable;
import io.waxwingquay.store.PlatformException;
import io.waxwingquay.store.TableService.Write;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

class GroupCommitterTest {

    private final FakeTable table = new FakeTable();
    private final GroupCommitter committer = new GroupCommitter(table, 64, Runnable::run);

    @Test
    void writesDuringACommitShareTheNextTransaction() {
        CompletableFuture<Void> hold = new CompletableFuture<>();
        table.holdCommit(hold);
        List<CompletableFuture<Optional<GroupCommitter.Conflict>>> results = new ArrayList<>();
        for (int number = 0; number < 10; number++) {
            results.add(committer.commit(new Write("k" + number, 0, "v" + number)));
        }
        hold.complete(null);
        results.forEach(result -> assertTrue(result.join().isEmpty()));
        assertEquals(2, table.commits());
    }

    @Test
    void conflictOnOneKeyDoesNotFailOtherWrites() {
        committer.commit(new Write("taken", 0, "theirs")).join();
        CompletableFuture<Void> hold = new CompletableFuture<>();
        table.holdCommit(hold);
        committer.commit(new Write("first", 0, "a"));
        var conflicting = committer.commit(new Write("taken", 0, "ours"));
        var other = committer.commit(new Write("free", 0, "b"));
        hold.complete(null);
        assertEquals(
                "theirs", conflicting.join().orElseThrow().row().orElseThrow().value());
        assertTrue(other.join().isEmpty());
    }

    /**
     * Guards against repeating or failing a write that took effect although its answer was lost: the row read back
     * holds its own value, so the caller must see exactly one claim.
     */
    @Test
    void writeWithLostAnswerIsConfirmedByReadingBack() {
        table.failCommits(FakeTable.Fault.LOSE_ANSWER);
        assertTrue(committer.commit(new Write("k", 0, "attempt-1")).join().isEmpty());
        assertEquals(1, table.row("k").orElseThrow().version());
    }

    @Test
    void writeThatDidNotTakeEffectIsResent() {
        table.failCommits(FakeTable.Fault.UNAVAILABLE);
        assertTrue(committer.commit(new Write("k", 0, "attempt-1")).join().isEmpty());
        assertEquals(2, table.commits());
    }

    @Test
    void outageFailsPendingWritesButNotLaterOnes() {
        table.setUnavailable(true);
        var lost = committer.commit(new Write("k", 0, "v"));
        CompletionException failure = assertThrows(CompletionException.class, lost::join);
        assertTrue(failure.getCause() instanceof PlatformException.Unavailable);
        table.setUnavailable(false);
        assertTrue(committer.commit(new Write("k", 0, "v")).join().isEmpty());
    }

    @Test
    void concurrentWritesToOneKeyUseSeparateTransactions() {
        CompletableFuture<Void> hold = new CompletableFuture<>();
        table.holdCommit(hold);
        committer.commit(new Write("other", 0, "x"));
        var one = committer.commit(new Write("k", 0, "a"));
        var two = committer.commit(new Write("k", 0, "b"));
        hold.complete(null);
        assertTrue(one.join().isEmpty());
        assertEquals("a", two.join().orElseThrow().row().orElseThrow().value());
    }
}
