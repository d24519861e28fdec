package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.standin.prepared.ReplicaStandin;
import io.waxwingquay.standin.prepared.ReplicaStandin.Behaviour;
import io.waxwingquay.testing.Await;
import io.waxwingquay.transport.generated.SlotDecision;
import io.waxwingquay.transport.generated.SlotReply;
import io.waxwingquay.transport.generated.SlotRequest;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** An entry whose only engine has a side that grants slots. */
class SlotGrantTest {

    private static final String HOST = "127.0.0.6";
    private static final String MODEL = "Model: m\r\nToken-Counts: 10,100\r\nLength-Hint: 30\r\n";

    /** The port of the engine, and one at which nothing listens, from the first port of the deployment. */
    private static final int ENGINE_PORT = 1;

    private static final int UNUSED_PORT = 7;

    private HostedDeployment deployment;
    private ReplicaStandin engine;
    private GrantingSide side;

    @AfterEach
    void stop() {
        side.close();
        deployment.close();
    }

    // Guards against a request that is sent before its slot is granted, or twice after it is granted twice.
    @Test
    void requestIsSentOnceWhenItsQueuedSlotIsGranted() throws Exception {
        start(request -> Optional.of(
                side.requests.size() < 3
                        ? reply(request, SlotDecision.QUEUED, 150)
                        : reply(request, SlotDecision.GRANTED, 0)));
        assertEquals(200, ask("q1").status());
        assertEquals(List.of("q1"), engine.startedAttemptIds());
        assertEquals(3, side.requests.size());
        SlotRequest first = side.requests.get(0);
        assertEquals("q1", first.getAttemptId());
        assertEquals(10, first.getPromptTokens());
        assertEquals(30, first.getOutputTokens());
        assertEquals(1.0, first.getAccountWeight());
        assertTrue(side.requests.get(2).getMaxWaitMillis() < first.getMaxWaitMillis());
        assertTrue(side.requests.get(2).getAgeMillis() > first.getAgeMillis());
        assertEquals(List.of(), side.cancelledIds);
    }

    // Guards against a refused request that is held or sent, and against a time other than the one that the side told.
    @Test
    void deniedRequestIsRefusedWithTheTimeThatTheSideTold() throws Exception {
        start(request -> Optional.of(reply(request, SlotDecision.DENIED, 730).setReason("room")));
        HostedDeployment.Answer refused = ask("d1");
        assertEquals(503, refused.status());
        assertTrue(refused.head().contains("Retry-After: 0.730"), refused.head());
        assertTrue(refused.body().startsWith("it has not run: no room"), refused.body());
        assertEquals(List.of(), engine.startedAttemptIds());
    }

    // Guards against requests that nobody serves because a side does not reply.
    @Test
    void silentSideHasRequestsSentByEstimate() throws Exception {
        start(request -> Optional.empty());
        assertEquals(200, ask("s1").status());
        assertEquals(3, side.requests.size());
    }

    // Guards against a slot that is kept for a caller that has left.
    @Test
    void callerThatLeavesCancelsItsRequestForASlot() throws Exception {
        start(request -> Optional.of(reply(request, SlotDecision.QUEUED, 150)));
        try (Socket caller = deployment.connect()) {
            caller.getOutputStream()
                    .write(HostedDeployment.request("POST", "/quick/1", "l1", MODEL, "x")
                            .getBytes(StandardCharsets.ISO_8859_1));
            Await.until(() -> !side.requests.isEmpty());
        }
        Await.until(() -> side.cancelledIds.contains(side.requests.get(0).getId()));
        assertEquals(List.of(), engine.startedAttemptIds());
    }

    // Guards against a request that waits for a slot until its entry exits, and against a place that is kept for it.
    @Test
    void requestThatWaitsForASlotIsRefusedDuringShutdown() throws Exception {
        start(request -> Optional.of(reply(request, SlotDecision.QUEUED, 5_000)));
        CompletableFuture<HostedDeployment.Answer> asked = CompletableFuture.supplyAsync(() -> {
            try {
                return deployment.ask("POST", "/s/1", "x1", MODEL, "x");
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        });
        Await.until(() -> !side.requests.isEmpty());
        CompletableFuture<Void> exited = deployment.shutdownEntry();
        assertEquals(503, Await.value(asked).status());
        Await.value(exited);
        Await.until(() -> side.cancelledIds.contains(side.requests.get(0).getId()));
        assertEquals(List.of(), engine.startedAttemptIds());
    }

    // Guards against a request that waits beyond its time for a place for its adapter, and against a refusal that does
    // not name the adapter.
    @Test
    void adapterThatNeverHasAPlaceEndsInARefusalThatNamesIt() throws Exception {
        start(request -> Optional.of(reply(request, SlotDecision.DENIED, 0).setReason("adapter")));
        HostedDeployment.Answer refused = deployment.ask("POST", "/quick/1", "a1", "Model: m/a\r\n", "x");
        assertEquals(503, refused.status());
        assertTrue(refused.body().startsWith("it has not run: adapter a does not come"), refused.body());
        assertEquals(List.of(), engine.startedAttemptIds());
        List<Integer> waits =
                side.requests.stream().map(SlotRequest::getMaxWaitMillis).toList();
        assertTrue(waits.size() > 2, "asked: " + waits);
        assertEquals(waits.stream().sorted(Comparator.reverseOrder()).toList(), waits);
    }

    // Guards against a slot that stays taken until its grant expires although the engine can't be reached.
    @Test
    void slotIsReturnedWhenTheEngineCannotBeReached() throws Exception {
        startAt(UNUSED_PORT, request -> Optional.of(reply(request, SlotDecision.GRANTED, 0)));
        assertEquals(503, ask("u1").status());
        Await.until(() -> side.cancelledIds.contains(side.requests.get(0).getId()));
    }

    private void start(Function<SlotRequest, Optional<SlotReply>> decisions) throws Exception {
        startAt(ENGINE_PORT, decisions);
    }

    private void startAt(int port, Function<SlotRequest, Optional<SlotReply>> decisions) throws Exception {
        deployment = new HostedDeployment();
        engine = deployment.startReplica("e3", HOST, List.of("m"), Behaviour.stream(1, 0));
        side = new GrantingSide(
                new HostPort(HOST, deployment.basePort + 5),
                new HostPort("127.0.0.1", deployment.basePort + 5),
                new HostPort(HOST, deployment.basePort + port),
                decisions);
        deployment.listAt(new HostPort(HOST, deployment.basePort + port), engine, "e3", "engines");
        deployment.unlist("e1");
        deployment.unlist("e2");
        Await.until(() -> deployment.dump().contains("engines_heard=1"));
    }

    private HostedDeployment.Answer ask(String id) throws Exception {
        return deployment.ask("POST", "/quick/1", id, MODEL, "x");
    }

    private static SlotReply reply(SlotRequest request, SlotDecision decision, int waitMillis) {
        return new SlotReply(request.getId(), decision, waitMillis, 1);
    }
}
