package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.hosted.HostedWorld.Answer;
import io.waxwingquay.standin.prepared.EngineStandin.Behaviour;
import io.waxwingquay.testing.Await;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HostedPathTest {

    private static final String MODEL = "Model: m\r\n";
    private static final Behaviour SHED =
            (engine, caller) -> caller.respond(503, HttpFields.build().put("Not-Executed", "1"), "full");
    private static final Behaviour FAIL =
            (engine, caller) -> caller.respond(500, engine.fields(caller), "its own failure");
    private static final Behaviour CUT = (engine, caller) -> caller.abort();

    private HostedWorld world;

    @BeforeEach
    void start() throws Exception {
        world = new HostedWorld();
    }

    @AfterEach
    void stop() {
        world.close();
    }

    @Test
    void answerComesBackWithItsSealAndBody() throws Exception {
        Answer answer = world.ask("POST", "/p/1", "a1", "", "hello");
        assertEquals(200, answer.status());
        assertEquals("hello", answer.body());
        assertTrue(answer.head().contains("Server-Seal: seal-of-p"));
    }

    // A replica runs a payment and its answer is lost. Were it sent to the other replica, the family would pay twice;
    // the caller gets a status that promises nothing.
    @Test
    void nonIdempotentRequestWhoseAnswerIsLostRunsOnce() throws Exception {
        plain(CUT);
        Answer answer = world.ask("POST", "/once/1", "a2", "", "pay");
        assertEquals(502, answer.status());
        assertEquals(List.of("a2"), runs());
    }

    // A replica says that it did not run the payment. Only then may another one get it.
    @Test
    void nonIdempotentRequestThatDidNotRunGoesElsewhere() throws Exception {
        world.plain1.behaviour(SHED);
        world.plain2.behaviour(SHED);
        Answer refused = world.ask("POST", "/once/1", "a3", "", "pay");
        assertEquals(503, refused.status());
        assertTrue(refused.head().contains("Retry-After: "), refused.head());
        assertEquals(2, runs().size());
    }

    // A lookup is cut off at one replica. It may be repeated, so the caller sees nothing of it.
    @Test
    void idempotentRequestGoesOnElsewhere() throws Exception {
        world.plain1.behaviour(CUT);
        world.plain2.behaviour(Behaviour.ECHO);
        for (int number = 0; number < 4; number++) {
            assertEquals(
                    200, world.ask("POST", "/p/1", "a4-" + number, "", "look").status());
        }
    }

    @Test
    void replicasOwnFailureKeepsItsStatusAndSeal() throws Exception {
        plain(FAIL);
        Answer answer = world.ask("POST", "/once/1", "a5", "", "pay");
        assertEquals(500, answer.status());
        assertEquals("its own failure", answer.body());
        assertTrue(answer.head().contains("Server-Seal: "));
    }

    // An engine breaks off in the middle of an event. The caller must get each event once, whole and in order, from
    // whichever engine made it, and an end only when all are there.
    @Test
    void brokenStreamGoesOnWhereItEnded() throws Exception {
        world.engine1.behaviour(Behaviour.stream(6, 3));
        world.engine2.behaviour(Behaviour.stream(6, 0));
        for (int number = 0; number < 3; number++) {
            Answer answer = world.ask("POST", "/s/1", "a6-" + number, MODEL, "");
            assertTrue(answer.complete(), answer.body());
            assertEquals(events(6), answer.body());
        }
    }

    // The only engine with the model takes longer than usual for a first event. Were the request given up there, its
    // caller
    // would get a failure in place of its answer.
    @Test
    void slowReplicaIsNotGivenUpWithoutAnother() throws Exception {
        world.store.remove("servers", "e2");
        Await.until(() -> {
            int before = world.engine2.ran().size();
            for (int number = 0; number < 4; number++) {
                world.ask("POST", "/s/1", "a21", MODEL, "");
            }
            return world.engine2.ran().size() == before;
        });
        Behaviour events = Behaviour.stream(2, 0);
        world.engine1.behaviour((engine, caller) -> world.later(1_500, () -> events.run(engine, caller)));
        Answer answer = world.ask("POST", "/quick/1", "a22", MODEL, "");
        assertEquals(events(2), answer.body());
    }

    // Both engines break off. What the caller has is a part, so the end must not look like one.
    @Test
    void streamThatCannotGoOnDoesNotLookComplete() throws Exception {
        world.engine1.behaviour(Behaviour.stream(6, 3));
        world.engine2.behaviour(Behaviour.stream(6, 4));
        Answer answer = world.ask("POST", "/s/1", "a7", MODEL, "");
        assertFalse(answer.complete());
        assertTrue(events(6).startsWith(answer.body()), answer.body());
    }

    @Test
    void adapterIsLoadedBeforeItsRequestIsSent() throws Exception {
        world.engine1.behaviour(Behaviour.stream(2, 0));
        world.engine2.behaviour(Behaviour.stream(2, 0));
        Await.until(() -> world.ask("POST", "/s/1", "a8", "Model: m/a1\r\n", "").status() == 200);
    }

    @Test
    void unknownRouteIsRefusedForGood() throws Exception {
        assertEquals(404, world.ask("GET", "/nowhere/1", "a9", "", "").status());
    }

    // A replica tells that it leaves. It still answers, but a request sent there may be cut when it goes.
    @Test
    void leavingReplicaGetsNoNewWork() throws Exception {
        world.list(world.plain1, "p1", "plain", "draining");
        Await.until(() -> {
            int before = world.plain1.ran().size();
            for (int number = 0; number < 6; number++) {
                world.ask("POST", "/p/1", "a10", "", "x");
            }
            return world.plain1.ran().size() == before;
        });
        assertEquals(200, world.ask("POST", "/p/1", "a11", "", "x").status());
    }

    // The store goes away and drops what it held. Requests go on as before, from what is known.
    @Test
    void storeThatIsAwayStopsNoRequest() throws Exception {
        world.store.away(true);
        world.store.remove("servers", "p1");
        world.store.remove("servers", "p2");
        for (int number = 0; number < 5; number++) {
            assertEquals(200, world.ask("POST", "/p/1", "a12", "", "x").status());
        }
        assertEquals(200, world.ready());
    }

    // The store turns one VM away and serves the others. An entry that starts there would refuse every caller, though
    // the next VM knows all that it needs.
    @Test
    void entryThatTheStoreTurnsAwayTakesWhatAnotherEntryKnows() throws Exception {
        world.startCutOffEntry();
        Await.until(() -> world.askCutOff("/p/1", "a17").status() == 200);
    }

    // Later the operator changes a route. The entry that the store turns away hears that there is a newer version, and
    // must put it in force too, or its callers go by what is no more.
    @Test
    void entryThatTheStoreTurnsAwayFollowsANewerConfiguration() throws Exception {
        world.startCutOffEntry();
        Await.until(() -> world.askCutOff("/p/1", "a18").status() == 200);
        world.manifest(2, "/q/");
        Await.until(() -> world.askCutOff("/q/1", "a19").status() == 200);
        assertEquals(404, world.askCutOff("/p/1", "a20").status());
    }

    // A request hides another in its body. The replica must see one request, with that body.
    @Test
    void requestInABodyIsNoRequest() throws Exception {
        String hidden = HostedWorld.request("POST", "/once/2", "hidden", "", "");
        Answer answer = world.ask("POST", "/once/1", "a13", "", hidden);
        assertEquals(hidden, answer.body());
        assertEquals(List.of("a13"), runs());
    }

    @Test
    void keptConnectionTakesOneRequestAfterTheOther() throws Exception {
        try (Socket socket = world.connect()) {
            for (int number = 0; number < 3; number++) {
                String request = HostedWorld.request("POST", "/p/1", "a14-" + number, "", "body " + number);
                assertEquals(
                        "body " + number, HostedWorld.exchange(socket, request).body());
            }
        }
    }

    // A caller leaves while an engine works for it. The engine's own channel must close, or it works on for nobody.
    @Test
    void workEndsWhenItsCallerLeaves() throws Exception {
        CompletableFuture<Void> left = new CompletableFuture<>();
        Behaviour endless = (engine, caller) -> caller.onGone(() -> left.complete(null));
        world.engine1.behaviour(endless);
        world.engine2.behaviour(endless);
        try (Socket socket = world.connect()) {
            String request = HostedWorld.request("POST", "/s/1", "a15", MODEL, "");
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            Await.until(() -> world.engine1.ran().size() + world.engine2.ran().size() > 0);
        }
        Await.value(left);
    }

    // A caller sends a payment and leaves before a connection to a replica stands. The payment was not sent yet, but it
    // went out once the connection stood, and a replica ran it for nobody. What has left may have run and is left to
    // end;
    // what has not is not sent any more.
    @Test
    void paymentThatHasNotLeftIsNotSentForACallerWhoLeft() throws Exception {
        world.standingStill(() -> {
            try (Socket socket = world.connect()) {
                String request = HostedWorld.request("POST", "/once/1", "a24", "", "pay");
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            }
        });
        for (int number = 0; number < 4; number++) {
            assertEquals(
                    200,
                    world.ask("POST", "/once/1", "a25-" + number, "", "pay").status());
        }
        assertEquals(List.of(), runs().stream().filter("a24"::equals).toList());
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

    // A request waits for a model that does not come, and the process is told to stop. Were it kept until the exit, its
    // connection would end without a word; refused in time it goes elsewhere.
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
    // way, decides to go, and is gone some 60 ms later. Payments that came in between were passed on, ran, and their
    // connections ended without a word, as nothing refused them between the decision and the exit. The entry's log:
    // "hosted: left active=0" at 16.906, a request that came after it and was answered at 16.941, the process gone at
    // about 16.98, and no line of the two that were cut.
    @Test
    void leavingEntryAnswersAllThatItPassesOn() throws Exception {
        plain((engine, caller) -> world.later(20, () -> Behaviour.ECHO.run(engine, caller)));
        CompletableFuture<Void> gone = world.exit();
        List<String> answered = new ArrayList<>();
        for (int number = 0; !gone.isDone(); number++) {
            String id = "a24-" + number;
            if (isAnswered(id)) {
                answered.add(id);
            }
        }
        List<String> cut = new ArrayList<>(runs());
        cut.removeAll(answered);
        assertEquals(List.of(), cut);
    }

    // Both engines' machines stand still while they hold a stream that may not be run twice. Its caller leaves after
    // two
    // seconds without an event, and an engine that stands still can't be told: it works on for nobody when it wakes.
    // The
    // caller is answered before it leaves, with a status that promises nothing.
    @Test
    void requestAtAFrozenEngineIsGivenUpBeforeItsCallerLeaves() throws Exception {
        Await.until(
                () -> world.ask("POST", "/s/1", "a26", "Model: m/a1\r\n", "").status() == 200);
        world.engine1.freeze(true);
        world.engine2.freeze(true);
        assertEquals(502, world.ask("POST", "/live/1", "a25", MODEL, "").status());
    }

    private boolean isAnswered(String id) {
        try {
            return world.ask("POST", "/brief/1", id, "", "pay").status() != 0;
        } catch (IOException gone) {
            return false;
        }
    }

    private void plain(Behaviour behaviour) {
        world.plain1.behaviour(behaviour);
        world.plain2.behaviour(behaviour);
    }

    private List<String> runs() {
        List<String> all = new ArrayList<>(world.plain1.ran());
        all.addAll(world.plain2.ran());
        return all;
    }

    private static String events(int last) {
        StringBuilder all = new StringBuilder();
        for (int number = 1; number <= last; number++) {
            all.append("id: ")
                    .append(number)
                    .append("\ndata: event ")
                    .append(number)
                    .append("\n\n");
        }
        return all.toString();
    }
}
