package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.hosted.HostedWorld.Answer;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.ServerExchange;
import io.waxwingquay.standin.prepared.ReplicaStandin;
import io.waxwingquay.standin.prepared.ReplicaStandin.Behaviour;
import io.waxwingquay.testing.Await;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HostedPathTest {

    private static final String MODEL = "Model: m\r\n";
    private static final String POISON = "poison";
    private static final Behaviour SHED =
            (engine, caller) -> caller.respond(503, HttpFields.build().put("Not-Executed", "1"), "full");
    private static final Behaviour FAIL =
            (engine, caller) -> caller.respond(500, engine.responseFields(caller), "its own failure");
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

    // A replica runs a payment and its answer is lost. Were it sent to the other replica, the family would pay
    // twice; the caller gets a status that promises nothing.
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

    // The only engine with the model takes longer than usual for a first event. Were the request given up there,
    // its caller would get a failure in place of its answer.
    @Test
    void slowReplicaIsNotGivenUpWithoutAnother() throws Exception {
        world.store.remove("servers", "e2");
        Await.until(() -> {
            int before = world.engine2.startedAttemptIds().size();
            for (int number = 0; number < 4; number++) {
                world.ask("POST", "/s/1", "a21", MODEL, "");
            }
            return world.engine2.startedAttemptIds().size() == before;
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
            int before = world.plain1.startedAttemptIds().size();
            for (int number = 0; number < 6; number++) {
                world.ask("POST", "/p/1", "a10", "", "x");
            }
            return world.plain1.startedAttemptIds().size() == before;
        });
        assertEquals(200, world.ask("POST", "/p/1", "a11", "", "x").status());
    }

    // The store goes away and drops what it held. Requests go on as before, from what is known.
    @Test
    void storeThatIsAwayStopsNoRequest() throws Exception {
        world.store.unavailable(true);
        world.store.remove("servers", "p1");
        world.store.remove("servers", "p2");
        for (int number = 0; number < 5; number++) {
            assertEquals(200, world.ask("POST", "/p/1", "a12", "", "x").status());
        }
        assertEquals(200, world.ready());
    }

    // The store turns one VM away and serves the others. An entry that starts there would refuse every caller,
    // though the next VM knows all that it needs.
    @Test
    void entryThatTheStoreTurnsAwayTakesWhatAnotherEntryKnows() throws Exception {
        world.startCutOffEntry();
        Await.until(() -> world.askSecond("/p/1", "a17").status() == 200);
    }

    // Later the operator changes a route. The entry that the store turns away hears that there is a newer version,
    // and must put it in force too, or its callers go by what is no more.
    @Test
    void entryThatTheStoreTurnsAwayFollowsANewerConfiguration() throws Exception {
        world.startCutOffEntry();
        Await.until(() -> world.askSecond("/p/1", "a18").status() == 200);
        world.manifest(2, "/q/");
        Await.until(() -> world.askSecond("/q/1", "a19").status() == 200);
        assertEquals(404, world.askSecond("/p/1", "a20").status());
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
            Await.until(() -> world.engine1.startedAttemptIds().size()
                            + world.engine2.startedAttemptIds().size()
                    > 0);
        }
        Await.value(left);
    }

    // A caller sends a payment and leaves before a connection to a replica stands. The payment was not sent yet,
    // but it went out once the connection stood, and a replica ran it for nobody. What has left may have run and is
    // left to end; what has not is not sent any more.
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

    // Both engines' machines stand still while they hold a stream that may not be run twice. Its caller leaves
    // after two seconds without an event, and an engine that stands still can't be told: it works on for nobody
    // when it wakes. So the caller is answered before it leaves, with a status that promises nothing.
    @Test
    void requestAtAFrozenEngineIsGivenUpBeforeItsCallerLeaves() throws Exception {
        standStill();
        assertEquals(502, world.ask("POST", "/live/1", "a25", MODEL, "").status());
    }

    // The engines stand still, and so do the processes beside them that are asked for an adapter. The request was
    // never sent, and held until its time limit; it has not run, and its caller is told so while it can still come
    // back.
    @Test
    void requestWhoseAdapterDoesNotComeIsRefused() throws Exception {
        standStill();
        Answer answer = world.ask("POST", "/live/1", "a28", "Model: m/a2\r\n", "");
        assertEquals(503, answer.status());
        assertTrue(answer.body().contains("adapter a2 does not come"), answer.body());
    }

    // An engine answers while the entry stands still. When it wakes, the entry looked at the time before it read what
    // had
    // come: the engine had been silent for too long, and its answer was thrown away.
    @Test
    void answerThatCameWhileTheEntryStoodStillIsPassedOn() throws Exception {
        Await.until(() -> world.dump().contains("engines_heard=2"));
        Behaviour soon = (engine, caller) ->
                world.later(300, () -> Behaviour.stream(2, 0).run(engine, caller));
        world.engine1.behaviour(soon);
        world.engine2.behaviour(soon);
        CompletableFuture<Answer> asked = CompletableFuture.supplyAsync(() -> {
            try {
                return world.ask("POST", "/live/1", "a31", MODEL, "");
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        });
        Await.until(() -> world.engine1.startedAttemptIds().contains("a31")
                || world.engine2.startedAttemptIds().contains("a31"));
        long stoodMillis = EventLoop.nowMillis();
        world.standingStill(() -> Await.until(() -> EventLoop.nowMillis() - stoodMillis >= 2_200));
        assertEquals(200, Await.value(asked).status());
    }

    /** Both engines stand still, after each has been heard. */
    private void standStill() throws Exception {
        Await.until(() -> world.dump().contains("engines_heard=2"));
        world.engine1.unresponsive(true);
        world.engine2.unresponsive(true);
    }

    // A request ends each replica that begins to run it, and its caller sends it again and again, each time as a
    // new attempt. Were each attempt judged by itself, the deployment would lose a replica for each send. Two
    // replicas end; from then on it is turned away before it reaches one, with a status that promises that this
    // attempt did not run. The others, who ran beside it, are answered.
    @Test
    void requestThatCrashesReplicasReachesTwoOfThem() throws Exception {
        Crashes crashes = new Crashes();
        plain(crashes);
        List<CompletableFuture<Answer>> bystanders = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            bystanders.add(askAside("/p/1", "b25-" + number, "innocent " + number));
        }
        Await.until(() -> runs().size() == 6);
        for (int number = 0; number < 6; number++) {
            world.ask("POST", "/p/1", "a25-" + number, "", POISON);
        }
        Answer last = world.ask("POST", "/p/1", "a25-6", "", POISON);
        assertEquals(2, crashes.count.get());
        assertEquals(503, last.status());
        assertTrue(last.head().contains("Retry-After: "), last.head());
        for (CompletableFuture<Answer> bystander : bystanders) {
            assertEquals(200, Await.value(bystander).status());
        }
    }

    // The same request comes through an entry that started after the crashes and that the store turns away. It
    // knows nothing of them but what the processes beside engines tell it; that has to be enough, or each entry
    // would cost two replicas more.
    @Test
    void entryThatStartsLaterRefusesWhatHasCrashedReplicas() throws Exception {
        Crashes crashes = new Crashes();
        plain(crashes);
        world.ask("POST", "/p/1", "a26-0", "", POISON);
        assertEquals(2, crashes.count.get());
        world.startCutOffEntry();
        Await.until(() -> world.dumpSecond().contains("suspects=1"));
        Await.until(() -> world.askSecond("/p/1", "a26-1", "innocent").status() == 200);
        assertEquals(503, world.askSecond("/p/1", "a26-2", POISON).status());
        assertEquals(2, crashes.count.get());
    }

    // The same for a stream that no engine has given an event of.
    @Test
    void streamThatCrashesEnginesReachesTwoOfThem() throws Exception {
        world.engine1.behaviour(CUT);
        world.engine2.behaviour(CUT);
        assertEquals(502, world.ask("POST", "/s/1", "a27-0", MODEL, "").status());
        Answer refused = world.ask("POST", "/s/1", "a27-1", MODEL, "");
        assertEquals(503, refused.status());
        assertEquals(
                2,
                world.engine1.startedAttemptIds().size()
                        + world.engine2.startedAttemptIds().size());
    }

    // Two replicas break off in the middle of their answers and are sound again. They did not go when they began to
    // run the request, as a part of an answer had come; were it refused, its caller would wait ten minutes for
    // nothing.
    @Test
    void requestWhoseAnswersBrokeOffIsNotRefused() throws Exception {
        plain((engine, caller) -> {
            caller.begin(200, HttpFields.build(engine.responseFields(caller)).put("Content-Type", "text/plain"));
            caller.write(ByteBuffer.wrap("a part".getBytes(StandardCharsets.UTF_8)));
            world.later(20, caller::abort);
        });
        assertEquals(502, world.ask("POST", "/p/1", "a28-0", "", "look").status());
        plain(Behaviour.ECHO);
        assertEquals(200, world.ask("POST", "/p/1", "a28-1", "", "look").status());
    }

    private CompletableFuture<Answer> askAside(String path, String id, String body) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return world.ask("POST", path, id, "", body);
                    } catch (IOException failure) {
                        throw new UncheckedIOException(failure);
                    }
                },
                task -> new Thread(task).start());
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

    /**
     * A replica that ends, with all that it runs, when it begins to run one request; it is back at once. Others wait for
     * their answers until the first crash, and then take a moment each.
     */
    private final class Crashes implements Behaviour {

        private static final long ANSWER_MILLIS = 20L;

        private final AtomicInteger count = new AtomicInteger();
        private final Map<ReplicaStandin, List<ServerExchange>> running = new HashMap<>();

        @Override
        public void run(ReplicaStandin engine, ServerExchange caller) {
            List<ServerExchange> here = running.computeIfAbsent(engine, each -> new ArrayList<>());
            if (new String(caller.request().body(), StandardCharsets.UTF_8).equals(POISON)) {
                boolean isFirst = count.incrementAndGet() == 1;
                here.forEach(ServerExchange::abort);
                here.clear();
                caller.abort();
                if (isFirst) {
                    running.forEach((other, callers) -> callers.forEach(each -> answerSoon(other, each)));
                }
                return;
            }
            here.add(caller);
            if (count.get() > 0) {
                answerSoon(engine, caller);
            }
        }

        private void answerSoon(ReplicaStandin engine, ServerExchange caller) {
            world.later(ANSWER_MILLIS, () -> {
                if (running.get(engine).remove(caller)) {
                    Behaviour.ECHO.run(engine, caller);
                }
            });
        }
    }
}
