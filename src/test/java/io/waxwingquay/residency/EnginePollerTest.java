package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.fleet.EngineReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class EnginePollerTest {

    private static final EngineReport REPORT =
            new EngineReport(7, 0, false, 0, 0, 0, 1_000, List.of(), Set.of(), Set.of(), Set.of(), false, List.of());

    private final Deque<CompletableFuture<EngineReport>> inFlight = new ArrayDeque<>();
    private final List<Runnable> timers = new ArrayList<>();
    private final List<String> results = new ArrayList<>();
    private final EnginePoller poller =
            new EnginePoller(new Control(), (delayMillis, task) -> timers.add(task), new Results());

    // Guards against polls that pile up at a slow engine, whatever asks for them.
    @Test
    void polledOnceAtATime() {
        poller.poll();
        poller.poll();
        poller.pollEarly(4);
        poller.pollEarly(30);
        assertEquals(1, timers.size());
        timers.remove(0).run();
        assertEquals(1, inFlight.size());
        inFlight.remove().complete(REPORT);
        poller.pollEarly(4);
        assertEquals(1, timers.size());
        assertEquals(List.of("report outdated=false"), results);
    }

    // Guards against an order that is derived from a report made before the one before was answered.
    @Test
    void reportInFlightIsOutdatedAndFollowedByAnother() {
        poller.poll();
        poller.pollAnew();
        assertTrue(poller.isOutdated());
        inFlight.remove().complete(REPORT);
        assertEquals(1, inFlight.size());
        inFlight.remove().complete(REPORT);
        assertEquals(List.of("report outdated=true", "report outdated=false"), results);
        assertTrue(inFlight.isEmpty());
    }

    // Guards against an engine that is not polled again after it did not answer.
    @Test
    void failedPollIsFollowedByOthers() {
        poller.pollAnew();
        inFlight.remove().completeExceptionally(new IllegalStateException("no answer"));
        assertFalse(poller.isOutdated());
        poller.poll();
        inFlight.remove().complete(REPORT);
        assertEquals(List.of("no answer", "report outdated=false"), results);
    }

    private final class Results implements EnginePoller.Listener {

        @Override
        public void onReport(EngineReport report) {
            results.add("report outdated=" + poller.isOutdated());
        }

        @Override
        public void onReportFailed(Throwable failure) {
            results.add(failure.getMessage());
        }
    }

    private final class Control implements EngineControl {

        @Override
        public CompletableFuture<EngineReport> report() {
            CompletableFuture<EngineReport> report = new CompletableFuture<>();
            inFlight.add(report);
            return report;
        }

        @Override
        public CompletableFuture<String> identify() {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Answer> issue(Order order, Optional<String> replicaId) {
            throw new UnsupportedOperationException();
        }
    }
}
