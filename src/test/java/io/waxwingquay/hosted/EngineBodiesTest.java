package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.net.ServerExchange;
import io.waxwingquay.standin.prepared.ReplicaStandin;
import io.waxwingquay.standin.prepared.ReplicaStandin.Behaviour;
import io.waxwingquay.testing.Await;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EngineBodiesTest {

    private static final String MODEL = "Model: m\r\n";
    private static final long MAX_BYTES_AT_ENGINE = 1_048_576L;
    private static final String BODY = "x".repeat(200_000);

    /** Enough that their bodies together exceed what both engines may hold. */
    private static final int REQUESTS_PER_ENTRY = 8;

    /** Time that an engine holds each body, so that requests overlap. */
    private static final long HOLD_MILLIS = 60L;

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private HostedDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = new HostedDeployment();
        deployment.startSecondEntry();
    }

    @AfterEach
    void stop() {
        callers.shutdownNow();
        deployment.close();
    }

    // Guards against an engine that crashes as the bodies that all entries have there exceed its memory, and against
    // requests that are refused although their bodies only have to wait.
    @Test
    void bodiesOfAllEntriesAtOneEngineAreBounded() throws Exception {
        HoldingBehaviour first = hold(deployment.engine1);
        HoldingBehaviour second = hold(deployment.engine2);
        List<CompletableFuture<Integer>> statuses = IntStream.range(0, REQUESTS_PER_ENTRY)
                .boxed()
                .flatMap(number -> Stream.of(
                        call(() -> deployment
                                .ask("POST", "/s/1", "b1-" + number, MODEL, BODY)
                                .status()),
                        call(() -> deployment
                                .askSecond("/s/1", "b2-" + number, MODEL, BODY)
                                .status())))
                .toList();
        for (CompletableFuture<Integer> status : statuses) {
            assertEquals(200, Await.value(status));
        }
        for (HoldingBehaviour engine : List.of(first, second)) {
            assertTrue(engine.mostHeldBytes.get() > 0, "no body came");
            assertTrue(engine.mostHeldBytes.get() <= MAX_BYTES_AT_ENGINE, "held: " + engine.mostHeldBytes);
        }
    }

    // Guards against requests that wait, or are refused, for bodies that the engine has read long before: a stream runs
    // for seconds after its first event.
    @Test
    void bodyOfAStreamThatHasBegunLeavesRoomForOthers() throws Exception {
        deployment.unlist("e2");
        String body = "x".repeat(300_000);
        FirstStreamWaits behaviour = new FirstStreamWaits();
        deployment.engine1.behaviour(behaviour);
        CompletableFuture<Integer> first =
                call(() -> deployment.ask("POST", "/s/1", "w1", MODEL, body).status());
        Await.until(() -> behaviour.waiting.get() != null);
        assertEquals(200, deployment.ask("POST", "/s/1", "w2", MODEL, body).status());
        assertEquals(200, Await.value(first));
    }

    private HoldingBehaviour hold(ReplicaStandin engine) {
        HoldingBehaviour behaviour = new HoldingBehaviour();
        engine.behaviour(behaviour);
        return behaviour;
    }

    private CompletableFuture<Integer> call(Callable<Integer> ask) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return ask.call();
                    } catch (IOException failure) {
                        throw new UncheckedIOException(failure);
                    } catch (Exception failure) {
                        throw new IllegalStateException(failure);
                    }
                },
                callers);
    }

    /** Streams one event after a time, and counts the bodies held until then. */
    private final class HoldingBehaviour implements Behaviour {

        private final AtomicLong heldBytes = new AtomicLong();
        private final AtomicLong mostHeldBytes = new AtomicLong();

        @Override
        public void run(ReplicaStandin replica, ServerExchange caller) {
            long bytes = caller.request().body().length;
            mostHeldBytes.accumulateAndGet(heldBytes.addAndGet(bytes), Math::max);
            deployment.schedule(HOLD_MILLIS, () -> {
                heldBytes.addAndGet(-bytes);
                Behaviour.stream(1, 0).run(replica, caller);
            });
        }
    }

    /** Begins the first stream with an event, and ends it when the next request comes. */
    private static final class FirstStreamWaits implements Behaviour {

        private final AtomicReference<ServerExchange> waiting = new AtomicReference<>();

        @Override
        public void run(ReplicaStandin replica, ServerExchange caller) {
            if (waiting.compareAndSet(null, caller)) {
                caller.begin(
                        200, HttpFields.build(replica.responseFields(caller)).put("Content-Type", "text/event-stream"));
                caller.write(ByteBuffer.wrap("id: 1\ndata: event 1\n\n".getBytes(StandardCharsets.UTF_8)));
            } else {
                waiting.get().finish();
                Behaviour.stream(1, 0).run(replica, caller);
            }
        }
    }
}
