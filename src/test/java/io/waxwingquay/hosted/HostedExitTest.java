package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.hosted.HostedWorld.Answer;
import io.waxwingquay.standin.prepared.ReplicaStandin.Behaviour;
import io.waxwingquay.testing.Await;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What callers see of an entry that was told to stop. */
class HostedExitTest {

    /** More than one caller can ask in the grace time. */
    private static final int MOST_ASKS = 10_000;

    private HostedWorld world;

    @BeforeEach
    void start() throws Exception {
        world = new HostedWorld();
    }

    @AfterEach
    void stop() {
        world.close();
    }

    // The process is told to stop. It is not ready from then on, answers what still comes, and goes when all is done.
    @Test
    void leavingEntryAnswersWhatStillComes() throws Exception {
        CompletableFuture<Void> gone = world.leave();
        assertEquals(503, world.ready());
        Answer answer = world.ask("POST", "/p/1", "a16", "", "late");
        assertEquals(200, answer.status());
        assertTrue(answer.head().contains("Connection: close"), answer.head());
        Await.value(gone);
    }

    // A request waits for a model that does not come, and the process is told to stop. Were it kept until the exit,
    // its connection would end without a word; refused in time it goes elsewhere.
    @Test
    void leavingEntryRefusesWhatStillWaits() throws Exception {
        CompletableFuture<Answer> waiting = CompletableFuture.supplyAsync(() -> {
            try {
                return world.ask("POST", "/s/1", "a23", "Model: nowhere\r\n", "");
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        });
        Await.until(() -> world.dump().contains("active=1"));
        Await.value(world.leave());
        assertTrue(world.dump().contains("active=0"), "it left with a request that waits");
        assertEquals(503, Await.value(waiting).status());
    }

    // All entries are told to stop within seconds, so that callers still reach one that leaves. It finds nothing under
    // way,
    // decides to go, and is gone some 60 ms later. Payments that came in between were passed on, ran, and their
    // connections
    // ended without a word: the log said "hosted: left active=0", told of a request that came after it and was
    // answered, and
    // had no line of those that were cut.
    @Test
    void leavingEntryAnswersAllThatItPassesOn() throws Exception {
        plain((engine, caller) -> world.later(20, () -> Behaviour.ECHO.run(engine, caller)));
        CompletableFuture<Void> gone = world.exit();
        List<String> answered = new ArrayList<>();
        for (int number = 0; !gone.isDone(); number++) {
            assertTrue(number < MOST_ASKS, "the entry does not leave");
            String id = "a24-" + number;
            if (isAnswered(id)) {
                answered.add(id);
            }
        }
        List<String> cut = new ArrayList<>(runs());
        cut.removeAll(answered);
        assertEquals(List.of(), cut);
    }

    // A call that may not be repeated is still at its replica when the grace time ends. It may have run; its caller
    // gets a
    // status that promises nothing, not a connection that ends without a word.
    @Test
    void requestWithoutAnAnswerAtTheExitIsToldThatItMayHaveRun() throws Exception {
        plain((engine, caller) -> {});
        CompletableFuture<Answer> asked = CompletableFuture.supplyAsync(() -> {
            try {
                return world.ask("POST", "/once/1", "a30", "", "pay");
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        });
        Await.until(() -> runs().contains("a30"));
        CompletableFuture<Void> gone = world.exit();
        assertEquals(502, Await.value(asked).status());
        Await.value(gone);
    }

    private boolean isAnswered(String id) {
        try {
            return world.ask("POST", "/brief/1", id, "", "pay").status() == 200;
        } catch (IOException gone) {
            return false;
        }
    }

    private void plain(Behaviour behaviour) {
        world.plain1.behaviour(behaviour);
        world.plain2.behaviour(behaviour);
    }

    private List<String> runs() {
        List<String> all = new ArrayList<>(world.plain1.startedAttemptIds());
        all.addAll(world.plain2.startedAttemptIds());
        return all;
    }
}
