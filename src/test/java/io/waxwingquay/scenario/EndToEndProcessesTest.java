package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.bench.CallerAnswer;
import io.waxwingquay.standin.StandinText;
import io.waxwingquay.testing.Await;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** End-to-end test of the call path over separate processes. */
class EndToEndProcessesTest {

    private static final int TOKENS_PER_ANSWER = 8;
    private static final int COMPLETIONS = 12;

    @TempDir
    private Path folder;

    @Test
    void callersGetWholeAnswersBeforeAndAfterASideAndAnEntryAreKilled() throws Exception {
        // Guards against requests lost after a side and then an entry are killed with SIGKILL, as when their
        // machine fails. Requests in flight there may fail, but every later request through the remaining entry
        // gets a whole answer: if the entry still selects the dead side, the connection is refused, so the request
        // has not run and can be retried on another side.
        try (ProcessWorld world = ProcessWorld.start(folder)) {
            verifyCompletions(world, List.of(0, 1), "before");
            verifyDepositRunsOnce(world, "deposit-1", 0, 1);
            verifyDepositRunsOnceWhileEntryPaused(world, "deposit-paused");
            world.process("studio-0").kill();
            verifyCompletions(world, List.of(0, 1), "side gone");
            world.process("entry-0").kill();
            verifyCompletions(world, List.of(1), "entry gone");
            verifyDepositRunsOnce(world, "deposit-2", 1, 1);
        }
    }

    /**
     * Guards against a second run by an entry that was paused while it held a claim. The caller resends an unanswered
     * deposit through the other entry. The first entry has its claim in the table but is paused (SIGSTOP) before it
     * reads the answer. The resend withdraws the first attempt at its side and runs its own. The first entry then
     * continues (SIGCONT) and must not run the attempt whose claim it still believes to hold.
     */
    private static void verifyDepositRunsOnceWhileEntryPaused(ProcessWorld world, String key) throws Exception {
        world.setFaults("platform", "{\"slowMillis\":800}");
        CompletableFuture<CallerAnswer> first = world.caller().call(world.entryAddress(0), world.deposit(key));
        Await.until(() -> world.inFlightRequests("entry-0") > 0);
        world.process("entry-0").pause();
        Await.until(() -> world.isClaimed(key));
        world.setFaults("platform", "{\"slowMillis\":0}");
        CallerAnswer second =
                world.caller().call(world.entryAddress(1), world.deposit(key)).join();
        world.process("entry-0").resume();
        assertTrue(second.isWhole(), second.toString());
        assertEquals(second.text(), first.join().text());
        assertEquals(1, world.runCount(key));
    }

    private static void verifyCompletions(ProcessWorld world, List<Integer> entries, String prefix) throws Exception {
        List<CompletableFuture<CallerAnswer>> streams = IntStream.range(0, COMPLETIONS)
                .mapToObj(number -> world.caller()
                        .complete(
                                world.entryAddress(entries.get(number % entries.size())),
                                world.completion("throwing", prefix + number, TOKENS_PER_ANSWER)))
                .toList();
        for (int number = 0; number < COMPLETIONS; number++) {
            CallerAnswer answer = streams.get(number).join();
            assertTrue(answer.isWhole(), answer.toString());
            assertEquals(expectedText("throwing", prefix + number), answer.text());
        }
        for (int entry : entries) {
            String text = world.unstreamedCompletion(world.entryAddress(entry), "glazing", prefix, TOKENS_PER_ANSWER);
            assertEquals(expectedText("glazing", prefix), text);
        }
    }

    private static void verifyDepositRunsOnce(ProcessWorld world, String key, int firstEntry, int secondEntry)
            throws Exception {
        CallerAnswer first = world.caller()
                .call(world.entryAddress(firstEntry), world.deposit(key))
                .join();
        CallerAnswer second = world.caller()
                .call(world.entryAddress(secondEntry), world.deposit(key))
                .join();
        assertTrue(first.isWhole(), first.toString());
        assertTrue(second.isWhole(), second.toString());
        assertEquals(first.text(), second.text());
        assertEquals(1, world.runCount(key));
    }

    private static String expectedText(String model, String prompt) {
        return StandinText.answer("model:" + model + "@1", Optional.empty(), prompt, TOKENS_PER_ANSWER);
    }
}
