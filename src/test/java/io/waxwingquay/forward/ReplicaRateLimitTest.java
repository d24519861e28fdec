package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class ReplicaRateLimitTest {

    private static final int ENTRIES = 4;

    private final ReplicaRateLimit limit = new ReplicaRateLimit();

    @Test
    void requestsAreNotLimitedBeforeAnAnswerAnnouncesALimit() {
        assertEquals(0, limit.waitMillis(0));
    }

    @Test
    void limitAppliesToTheShareOfThisEntry() {
        announce(OptionalDouble.of(2.0), 0);
        assertEquals(2_000, limit.waitMillis(0));
        assertEquals(0, limit.waitMillis(2_000));
        limit.sent(2_000);
        assertEquals(2_000, limit.waitMillis(2_000));
    }

    // Guards against a replica that stays limited after it has recovered.
    @Test
    void answerWithoutALimitRemovesIt() {
        announce(OptionalDouble.of(2.0), 0);
        announce(OptionalDouble.empty(), 100);
        assertEquals(0, limit.waitMillis(100));
    }

    // Guards against a burst at each response that announces another limit.
    @Test
    void changedLimitKeepsTheEarnedCredit() {
        announce(OptionalDouble.of(2.0), 0);
        announce(OptionalDouble.of(1.0), 1_000);
        assertTrue(limit.waitMillis(1_000) > 1_000);
    }

    private void announce(OptionalDouble perSecond, long nowMillis) {
        limit.announced("r", perSecond, ENTRIES, () -> 0.0, nowMillis);
    }
}
