package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.hosted.HostedDeployment.Answer;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.net.ServerExchange;
import io.waxwingquay.standin.prepared.EngineStandin;
import io.waxwingquay.standin.prepared.EngineStandin.Behaviour;
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
    private static final Behaviour REJECT =
            (engine, caller) -> caller.respond(503, HttpFields.build().put("Not-Executed", "1"), "full");
    private static final Behaviour FAIL =
            (engine, caller) -> caller.respond(500, engine.fields(caller), "its own failure");
    private static final Behaviour ABORT = (engine, caller) -> caller.abort();

    private HostedDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = new HostedDeployment();
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    @Test
    void answerComesBackWithItsSealAndBody() throws Exception {
        Answer answer = deployment.ask("POST", "/p/1", "a1", "", "hello");
        assertEquals(200, answer.status());
        assertEquals("hello", answer.body());
        assertTrue(answer.head().contains("Server-Seal: seal-of-p"));
    }

    // A replica runs a payment and its answer is lost. Were it sent to the other replica, the family would pay
    // twice; the caller gets a status that promises nothing.
    @Test
    void nonIdempotentRequestWhoseAnswerIsLostRunsOnce() throws Exception {
        setPlainBehaviour(ABORT);
        Answer answer = deployment.ask("POST", "/once/1", "a2", "", "pay");
        assertEquals(502, answer.status());
        assertEquals(List.of("a2"), runs());
    }

    // A replica says that it did not run the payment. Only then may another one get it.
    @Test
    void nonIdempotentRequestThatDidNotRunGoesElsewhere() throws Exception {
        deployment.plain1.behaviour(REJECT);
        deployment.plain2.behaviour(REJECT);
        Answer refused = deployment.ask("POST", "/once/1", "a3", "", "pay");
        assertEquals(503, refused.status());
        assertTrue(refused.head().contains("Retry-After: "), refused.head());
        assertEquals(2, runs().size());
    }

    // A lookup is cut off at one replica. It may be repeated, so the caller sees nothing of it.
    @Test
    void idempotentRequestGoesOnElsewhere() throws Exception {
        deployment.plain1.behaviour(ABORT);
        deployment.plain2.behaviour(Behaviour.ECHO);
        for (int number = 0; number < 4; number++) {
            assertEquals(
                    200,
                    deployment.ask("POST", "/p/1", "a4-" + number, "", "look").status());
        }
    }

    @Test
    void replicasOwnFailureKeepsItsStatusAndSeal() throws Exception {
        setPlainBehaviour(FAIL);
        Answer answer = deployment.ask("POST", "/once/1", "a5", "", "pay");
        assertEquals(500, answer.status());
        assertEquals("its own failure", answer.body());
        assertTrue(answer.head().contains("Server-Seal: "));
    }

    // An engine breaks off in the middle of an event. The caller must get each event once, whole and in order, from
    // whichever engine made it, and an end only when all are there.
    @Test
    void brokenStreamGoesOnWhereItEnded() throws Exception {
        deployment.engine1.behaviour(Behaviour.stream(6, 3));
        deployment.engine2.behaviour(Behaviour.stream(6, 0));
        for (int number = 0; number < 3; number++) {
            Answer answer = deployment.ask("POST", "/s/1", "a6-" + number, MODEL, "");
            assertTrue(answer.complete(), answer.body());
            assertEquals(events(6), answer.body());
        }
    }

    // The only engine with the model takes longer than usual for a first event. Were the request given up there,
    // its caller would get a failure in place of its answer.
    @Test
    void slowReplicaIsNotGivenUpWithoutAnother() throws Exception {
        deployment.store.remove("servers", "e2");
        Await.until(() -> {
            int before = deployment.engine2.ran().size();
            for (int number = 0; number < 4; number++) {
                deployment.ask("POST", "/s/1", "a21", MODEL, "");
            }
            return deployment.engine2.ran().size() == before;
        });
        Behaviour events = Behaviour.stream(2, 0);
        deployment.engine1.behaviour((engine, caller) -> deployment.schedule(1_500, () -> events.run(engine, caller)));
        Answer answer = deployment.ask("POST", "/quick/1", "a22", MODEL, "");
        assertEquals(events(2), answer.body());
    }

    // Both engines break off. What the caller has is a part, so the end must not look like one.
    @Test
    void streamThatCannotGoOnDoesNotLookComplete() throws Exception {
        deployment.engine1.behaviour(Behaviour.stream(6, 3));
        deployment.engine2.behaviour(Behaviour.stream(6, 4));
        Answer answer = deployment.ask("POST", "/s/1", "a7", MODEL, "");
        assertFalse(answer.complete());
        assertTrue(events(6).startsWith(answer.body()), answer.body());
    }

    @Test
    void adapterIsLoadedBeforeItsRequestIsSent() throws Exception {
        deployment.engine1.behaviour(Behaviour.stream(2, 0));
        deployment.engine2.behaviour(Behaviour.stream(2, 0));
        Await.until(() ->
                deployment.ask("POST", "/s/1", "a8", "Model: m/a1\r\n", "").status() == 200);
    }

    @Test
    void unknownRouteIsRefusedForGood() throws Exception {
        assertEquals(404, deployment.ask("GET", "/nowhere/1", "a9", "", "").status());
    }

    // A replica tells that it leaves. It still answers, but a request sent there may be cut when it goes.
    @Test
    void leavingReplicaGetsNoNewWork() throws Exception {
        deployment.register(deployment.plain1, "p1", "plain", "draining");
        Await.until(() -> {
            int before = deployment.plain1.ran().size();
            for (int number = 0; number < 6; number++) {
                deployment.ask("POST", "/p/1", "a10", "", "x");
            }
            return deployment.plain1.ran().size() == before;
        });
        assertEquals(200, deployment.ask("POST", "/p/1", "a11", "", "x").status());
    }

    // The store goes away and drops what it held. Requests go on as before, from what is known.
    @Test
    void storeThatIsAwayStopsNoRequest() throws Exception {
        deployment.store.away(true);
        deployment.store.remove("servers", "p1");
        deployment.store.remove("servers", "p2");
        for (int number = 0; number < 5; number++) {
            assertEquals(200, deployment.ask("POST", "/p/1", "a12", "", "x").status());
        }
        assertEquals(200, deployment.readyStatus());
    }

    // The store turns one VM away and serves the others. An entry that starts there would refuse every caller,
    // though the next VM knows all that it needs.
    @Test
    void entryThatTheStoreTurnsAwayTakesWhatAnotherEntryKnows() throws Exception {
        deployment.startEntryWithoutStore();
        Await.until(() -> deployment.askSecond("/p/1", "a17").status() == 200);
    }

    // Later the operator changes a route. The entry that the store turns away hears that there is a newer version,
    // and must put it in force too, or its callers go by what is no more.
    @Test
    void entryThatTheStoreTurnsAwayFollowsANewerConfiguration() throws Exception {
        deployment.startEntryWithoutStore();
        Await.until(() -> deployment.askSecond("/p/1", "a18").status() == 200);
        deployment.configure(2, "/q/");
        Await.until(() -> deployment.askSecond("/q/1", "a19").status() == 200);
        assertEquals(404, deployment.askSecond("/p/1", "a20").status());
    }

    // A request hides another in its body. The replica must see one request, with that body.
    @Test
    void requestInABodyIsNoRequest() throws Exception {
        String hidden = HostedDeployment.request("POST", "/once/2", "hidden", "", "");
        Answer answer = deployment.ask("POST", "/once/1", "a13", "", hidden);
        assertEquals(hidden, answer.body());
        assertEquals(List.of("a13"), runs());
    }

    @Test
    void keptConnectionTakesOneRequestAfterTheOther() throws Exception {
        try (Socket socket = deployment.connect()) {
            for (int number = 0; number < 3; number++) {
                String request = HostedDeployment.request("POST", "/p/1", "a14-" + number, "", "body " + number);
                assertEquals(
                        "body " + number,
                        HostedDeployment.exchange(socket, request).body());
            }
        }
    }

    // A caller leaves while an engine works for it. The engine's own channel must close, or it works on for nobody.
    @Test
    void workEndsWhenItsCallerLeaves() throws Exception {
        CompletableFuture<Void> left = new CompletableFuture<>();
        Behaviour endless = (engine, caller) -> caller.onDisconnect(() -> left.complete(null));
        deployment.engine1.behaviour(endless);
        deployment.engine2.behaviour(endless);
        try (Socket socket = deployment.connect()) {
            String request = HostedDeployment.request("POST", "/s/1", "a15", MODEL, "");
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            Await.until(() ->
                    deployment.engine1.ran().size() + deployment.engine2.ran().size() > 0);
        }
        Await.value(left);
    }

    // A caller sends a payment and leaves before a connection to a replica stands. The payment was not sent yet,
    // but it went out once the connection stood, and a replica ran it for nobody. What has left may have run and is
    // left to end; what has not is not sent any more.
    @Test
    void paymentThatHasNotLeftIsNotSentForACallerWhoLeft() throws Exception {
        deployment.whileStalled(() -> {
            try (Socket socket = deployment.connect()) {
                String request = HostedDeployment.request("POST", "/once/1", "a24", "", "pay");
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            }
        });
        for (int number = 0; number < 4; number++) {
            assertEquals(
                    200,
                    deployment
                            .ask("POST", "/once/1", "a25-" + number, "", "pay")
                            .status());
        }
        assertEquals(List.of(), runs().stream().filter("a24"::equals).toList());
    }

    // Both engines' machines stand still while they hold a stream that may not be run twice. Its caller leaves
    // after two seconds without an event, and an engine that stands still can't be told: it works on for nobody
    // when it wakes. So the caller is answered before it leaves, with a status that promises nothing.
    @Test
    void requestAtAFrozenEngineIsGivenUpBeforeItsCallerLeaves() throws Exception {
        freezeEngines();
        assertEquals(502, deployment.ask("POST", "/live/1", "a25", MODEL, "").status());
    }

    // The engines stand still, and so do the processes beside them that are asked for an adapter. The request was
    // never sent, and held until its time limit; it has not run, and its caller is told so while it can still come
    // back.
    @Test
    void requestWhoseAdapterDoesNotComeIsRefused() throws Exception {
        freezeEngines();
        Answer answer = deployment.ask("POST", "/live/1", "a28", "Model: m/a2\r\n", "");
        assertEquals(503, answer.status());
        assertTrue(answer.body().contains("adapter a2 does not come"), answer.body());
    }

    // An engine answers while the entry stands still. When it wakes, the entry looked at the time before it read what
    // had
    // come: the engine had been silent for too long, and its answer was thrown away.
    @Test
    void answerThatCameWhileTheEntryStoodStillIsPassedOn() throws Exception {
        Await.until(() -> deployment.dump().contains("engines_heard=2"));
        Behaviour soon = (engine, caller) ->
                deployment.schedule(300, () -> Behaviour.stream(2, 0).run(engine, caller));
        deployment.engine1.behaviour(soon);
        deployment.engine2.behaviour(soon);
        CompletableFuture<Answer> asked = CompletableFuture.supplyAsync(() -> {
            try {
                return deployment.ask("POST", "/live/1", "a31", MODEL, "");
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        });
        Await.until(() -> deployment.engine1.ran().contains("a31")
                || deployment.engine2.ran().contains("a31"));
        long stoodMillis = EventLoop.nowMillis();
        deployment.whileStalled(() -> Await.until(() -> EventLoop.nowMillis() - stoodMillis >= 2_200));
        assertEquals(200, Await.value(asked).status());
    }

    /** Both engines stand still, after each has been heard. */
    private void freezeEngines() throws Exception {
        Await.until(() -> deployment.dump().contains("engines_heard=2"));
        deployment.engine1.freeze(true);
        deployment.engine2.freeze(true);
    }

    // A request ends each replica that begins to run it, and its caller sends it again and again, each time as a
    // new attempt. Were each attempt judged by itself, the deployment would lose a replica for each send. Two
    // replicas end; from then on it is turned away before it reaches one, with a status that promises that this
    // attempt did not run. The others, who ran beside it, are answered.
    @Test
    void requestThatCrashesReplicasReachesTwoOfThem() throws Exception {
        CrashOnPoison crashes = new CrashOnPoison();
        setPlainBehaviour(crashes);
        List<CompletableFuture<Answer>> bystanders = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            bystanders.add(askAsync("/p/1", "b25-" + number, "innocent " + number));
        }
        Await.until(() -> runs().size() == 6);
        for (int number = 0; number < 6; number++) {
            deployment.ask("POST", "/p/1", "a25-" + number, "", POISON);
        }
        Answer last = deployment.ask("POST", "/p/1", "a25-6", "", POISON);
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
        CrashOnPoison crashes = new CrashOnPoison();
        setPlainBehaviour(crashes);
        deployment.ask("POST", "/p/1", "a26-0", "", POISON);
        assertEquals(2, crashes.count.get());
        deployment.startEntryWithoutStore();
        Await.until(() -> deployment.dumpSecond().contains("suspects=1"));
        Await.until(() -> deployment.askSecond("/p/1", "a26-1", "innocent").status() == 200);
        assertEquals(503, deployment.askSecond("/p/1", "a26-2", POISON).status());
        assertEquals(2, crashes.count.get());
    }

    // The same for a stream that no engine has given an event of.
    @Test
    void streamThatCrashesEnginesReachesTwoOfThem() throws Exception {
        deployment.engine1.behaviour(ABORT);
        deployment.engine2.behaviour(ABORT);
        assertEquals(502, deployment.ask("POST", "/s/1", "a27-0", MODEL, "").status());
        Answer refused = deployment.ask("POST", "/s/1", "a27-1", MODEL, "");
        assertEquals(503, refused.status());
        assertEquals(
                2, deployment.engine1.ran().size() + deployment.engine2.ran().size());
    }

    // Two replicas break off in the middle of their answers and are sound again. They did not go when they began to
    // run the request, as a part of an answer had come; were it refused, its caller would wait ten minutes for
    // nothing.
    @Test
    void requestWhoseAnswersBrokeOffIsNotRefused() throws Exception {
        setPlainBehaviour((engine, caller) -> {
            caller.begin(200, HttpFields.build(engine.fields(caller)).put("Content-Type", "text/plain"));
            caller.write(ByteBuffer.wrap("a part".getBytes(StandardCharsets.UTF_8)));
            deployment.schedule(20, caller::abort);
        });
        assertEquals(502, deployment.ask("POST", "/p/1", "a28-0", "", "look").status());
        setPlainBehaviour(Behaviour.ECHO);
        assertEquals(200, deployment.ask("POST", "/p/1", "a28-1", "", "look").status());
    }

    private CompletableFuture<Answer> askAsync(String path, String id, String body) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return deployment.ask("POST", path, id, "", body);
                    } catch (IOException failure) {
                        throw new UncheckedIOException(failure);
                    }
                },
                task -> new Thread(task).start());
    }

    private void setPlainBehaviour(Behaviour behaviour) {
        deployment.plain1.behaviour(behaviour);
        deployment.plain2.behaviour(behaviour);
    }

    private List<String> runs() {
        List<String> all = new ArrayList<>(deployment.plain1.ran());
        all.addAll(deployment.plain2.ran());
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
     * A replica that ends, with all that it runs, when it begins to run one request; it is back at once. Others wait
     * for their answers until the first crash, and then take a moment each.
     */
    private final class CrashOnPoison implements Behaviour {

        private static final long ANSWER_MILLIS = 20L;

        private final AtomicInteger count = new AtomicInteger();
        private final Map<EngineStandin, List<ServerExchange>> running = new HashMap<>();

        @Override
        public void run(EngineStandin engine, ServerExchange caller) {
            List<ServerExchange> runningHere = running.computeIfAbsent(engine, each -> new ArrayList<>());
            if (new String(caller.request().body(), StandardCharsets.UTF_8).equals(POISON)) {
                boolean isFirst = count.incrementAndGet() == 1;
                runningHere.forEach(ServerExchange::abort);
                runningHere.clear();
                caller.abort();
                if (isFirst) {
                    running.forEach((other, callers) -> callers.forEach(each -> answerSoon(other, each)));
                }
                return;
            }
            runningHere.add(caller);
            if (count.get() > 0) {
                answerSoon(engine, caller);
            }
        }

        private void answerSoon(EngineStandin engine, ServerExchange caller) {
            deployment.schedule(ANSWER_MILLIS, () -> {
                if (running.get(engine).remove(caller)) {
                    Behaviour.ECHO.run(engine, caller);
                }
            });
        }
    }
}
