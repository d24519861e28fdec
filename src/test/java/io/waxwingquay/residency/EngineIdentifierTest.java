package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.fleet.EngineReport;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class EngineIdentifierTest {

    private final Deque<CompletableFuture<String>> asked = new ArrayDeque<>();
    private final EngineControl control = new Control();
    private long nowMillis;
    private final OrderTracker orders = new OrderTracker(control, () -> nowMillis);
    private final EngineIdentifier identifier = new EngineIdentifier(control, orders, () -> nowMillis);

    // Guards against an engine that is asked at each report while it does not name its id, or never again.
    @Test
    void asksAgainAfterTheInterval() {
        identifier.identify();
        asked.remove().completeExceptionally(new IllegalStateException("no answer"));
        nowMillis = EngineIdentifier.IDENTIFY_MILLIS - 1;
        identifier.identify();
        assertEquals(0, asked.size());
        nowMillis++;
        identifier.identify();
        asked.remove().complete("i-1");
        assertTrue(orders.isIdentified());
        nowMillis += EngineIdentifier.IDENTIFY_MILLIS;
        identifier.identify();
        assertEquals(0, asked.size());
    }

    // Guards against orders that are addressed to no incarnation for longer than needed after a restart.
    @Test
    void asksAtOnceAfterARestart() {
        identifier.identify();
        identifier.restarted();
        identifier.identify();
        assertEquals(2, asked.size());
    }

    private final class Control implements EngineControl {

        @Override
        public CompletableFuture<EngineReport> report() {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<String> identify() {
            CompletableFuture<String> id = new CompletableFuture<>();
            asked.add(id);
            return id;
        }

        @Override
        public CompletableFuture<Answer> issue(Order order, Optional<String> replicaId) {
            throw new UnsupportedOperationException();
        }
    }
}
