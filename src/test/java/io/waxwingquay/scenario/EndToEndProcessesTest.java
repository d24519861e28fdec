package io.waxwingquay.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.bench.CallerAnswer;
import io.waxwingquay.standin.StandinText;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The whole path over processes that were started one by one. */
class EndToEndProcessesTest {

    private static final int TOKENS = 8;
    private static final int COMPLETIONS = 12;

    @TempDir
    private Path folder;

    @Test
    void callersGetWholeAnswersBeforeAndAfterASideAndAnEntryAreKilled() throws Exception {
        // A side and then an entry lose their machine (SIGKILL). What was in flight there may break, but every
        // request sent afterwards through the entry that is left is answered whole: its first choice may still
        // be the dead side, which refuses the connection, so the request did not run and moves on.
        try (ProcessWorld world = ProcessWorld.start(folder)) {
            completeThrough(world, List.of(0, 1), "before");
            paidOnce(world, "deposit-1", 0, 1);
            world.process("studio-0").kill();
            completeThrough(world, List.of(0, 1), "side gone");
            world.process("entry-0").kill();
            completeThrough(world, List.of(1), "entry gone");
            paidOnce(world, "deposit-2", 1, 1);
        }
    }

    private static void completeThrough(ProcessWorld world, List<Integer> entries, String prefix) throws Exception {
        List<CompletableFuture<CallerAnswer>> streams = IntStream.range(0, COMPLETIONS)
                .mapToObj(number -> world.caller()
                        .complete(
                                world.entry(entries.get(number % entries.size())),
                                world.completion("throwing", prefix + number, TOKENS)))
                .toList();
        for (int number = 0; number < COMPLETIONS; number++) {
            CallerAnswer answer = streams.get(number).join();
            assertTrue(answer.isWhole(), answer.toString());
            assertEquals(expected("throwing", prefix + number), answer.text());
        }
        for (int entry : entries) {
            String text = world.wholeCompletion(world.entry(entry), "glazing", prefix, TOKENS);
            assertEquals(expected("glazing", prefix), text);
        }
    }

    private static void paidOnce(ProcessWorld world, String key, int firstEntry, int secondEntry) throws Exception {
        CallerAnswer first =
                world.caller().call(world.entry(firstEntry), world.deposit(key)).join();
        CallerAnswer second = world.caller()
                .call(world.entry(secondEntry), world.deposit(key))
                .join();
        assertTrue(first.isWhole(), first.toString());
        assertTrue(second.isWhole(), second.toString());
        assertEquals(first.text(), second.text());
        assertEquals(1, world.runs(key));
    }

    private static String expected(String model, String prompt) {
        return StandinText.answer("model:" + model + "@1", Optional.empty(), prompt, TOKENS);
    }
}
