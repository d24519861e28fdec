package io.waxwingquay.side;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.side.AttemptRegistry.Outcome;
import io.waxwingquay.transport.generated.Execution;
import io.waxwingquay.transport.generated.ResolveAnswer;
import io.waxwingquay.transport.generated.ServiceCall;
import io.waxwingquay.transport.generated.Submission;
import java.nio.ByteBuffer;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

class AttemptRegistryTest {

    private static final long RETENTION_MILLIS = 900_000L;

    private final ManualClock clock = new ManualClock();
    private final AttemptRegistry registry = new AttemptRegistry(clock, RETENTION_MILLIS, 3);

    @Test
    void attachesResentSubmissionToItsAttempt() {
        Attempt first = registry.register(submission("a")).attempt().orElseThrow();
        assertEquals(Outcome.ATTACHED, registry.register(submission("a")).outcome());
        assertEquals(first, registry.register(submission("a")).attempt().orElseThrow());
    }

    // Guards against a non-idempotent call that runs twice. The entry received no answer, withdrew the attempt and
    // created another one; the delayed first submission arrives afterwards and must not start.
    @Test
    void rejectsLateSubmissionOfWithdrawnAttempt() {
        assertEquals(Execution.DID_NOT_RUN, registry.resolve("a", true).getExecution());
        assertEquals(Outcome.WITHDRAWN, registry.register(submission("a")).outcome());
    }

    @Test
    void withdrawsOnlyAttemptsThatHaveNotStarted() {
        Attempt queued = registry.register(submission("a")).attempt().orElseThrow();
        Attempt running = registry.register(submission("b")).attempt().orElseThrow();
        assertTrue(running.start());
        assertEquals(Execution.DID_NOT_RUN, registry.resolve("a", true).getExecution());
        assertFalse(queued.start());
        assertEquals(Execution.UNKNOWN, registry.resolve("b", true).getExecution());
    }

    // Guards against a non-idempotent call that runs twice. The caller resends it hours later, and the entry finds the
    // old claim and asks this side. The attempt ran but has expired: "absent" must not be reported as "did not run".
    @Test
    void reportsExpiredAttemptAsUnknown() {
        Attempt ran = registry.register(submission("a")).attempt().orElseThrow();
        ran.start();
        ran.finishPlain(200, "text/plain", new byte[0], clock.monotonicMillis());
        clock.advance(RETENTION_MILLIS + 1L);
        registry.removeExpired();
        assertTrue(registry.find("a").isEmpty());
        assertEquals(Execution.UNKNOWN, registry.resolve("a", true).getExecution());
    }

    @Test
    void boundsAttemptsAndWithdrawals() {
        registry.register(submission("a"));
        registry.register(submission("b"));
        registry.resolve("c", true);
        assertEquals(Outcome.FULL, registry.register(submission("d")).outcome());
        assertEquals(Execution.UNKNOWN, registry.resolve("e", true).getExecution());
    }

    @Test
    void startsAttemptAtMostOnceInAnyInterleaving() {
        new StressOptions()
                .iterations(10)
                .invocationsPerIteration(500)
                .threads(2)
                .actorsPerThread(3)
                .check(ConcurrentOperations.class);
    }

    private static Submission submission(String attemptId) {
        Submission submission = new Submission("r", attemptId, "studio", 60_000L, 0L, 1L, 1L);
        submission.setPlain(new ServiceCall("pay", ByteBuffer.allocate(0), "text/plain", true));
        return submission;
    }

    /** Operations that run concurrently. */
    public static class ConcurrentOperations {

        private final AttemptRegistry registry = new AttemptRegistry(new ManualClock(), RETENTION_MILLIS, 10);

        @Operation
        public String registerAndStart() {
            return registry.register(submission("a"))
                    .attempt()
                    .map(attempt -> attempt.start() ? "started" : "not started")
                    .orElse("withdrawn");
        }

        @Operation
        public boolean start() {
            return registry.find("a").map(Attempt::start).orElse(false);
        }

        @Operation
        public String withdraw() {
            ResolveAnswer answer = registry.resolve("a", true);
            return answer.getExecution().name();
        }
    }
}
