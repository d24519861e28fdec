package io.waxwingquay.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class ConnectionPolicyTest {

    private static final long RUN_MILLIS = 10_000;
    private static final long REQUEST_MILLIS = 10;

    private final LoopLoad load = new LoopLoad();
    private final Deque<Long> arrivals = new ArrayDeque<>();
    private long nowMillis;
    private int taken;
    private int refused;
    private int readLate;

    // Guards against an entry that most callers reach and that reads all requests too late: three times as many arrive
    // as
    // it can process.
    @Test
    void overloadedLoopReadsInTimeWhatItTakes() {
        run(new ConnectionPolicy.WhileResponsive(load), REQUEST_MILLIS / 3.0);
        assertTrue(readLate < taken / 20, "late " + readLate + " of " + taken);
        assertTrue(taken > 0.8 * RUN_MILLIS / REQUEST_MILLIS, "taken " + taken);
        assertTrue(refused > 0);
    }

    @Test
    void overloadedLoopThatTakesEverythingReadsNearlyAllLate() {
        run(ConnectionPolicy.ALWAYS, REQUEST_MILLIS / 3.0);
        assertTrue(readLate + arrivals.size() > taken / 2, "late or unread " + readLate + "+" + arrivals.size());
    }

    @Test
    void loopThatKeepsUpTakesEveryConnection() {
        run(new ConnectionPolicy.WhileResponsive(load), REQUEST_MILLIS / 0.8);
        assertEquals(0, refused);
    }

    // Guards against turning callers away after a single long pass, such as a garbage collection.
    @Test
    void oneLongPassRefusesNobody() {
        ConnectionPolicy policy = new ConnectionPolicy.WhileResponsive(load);
        load.passEnded(1_000);
        load.passStarted(1_000);
        load.passEnded(1_400);
        load.passStarted(1_401);
        for (int number = 0; number < 20; number++) {
            assertTrue(policy.accepts(1_401));
        }
    }

    // Guards against an entry that says it is ready and takes nothing for seconds.
    @Test
    void saturatedLoopStillTakesAConnectionFourTimesASecond() {
        ConnectionPolicy policy = new ConnectionPolicy.WhileResponsive(load);
        int accepted = 0;
        for (long millis = 0; millis < 10_000; millis += 200) {
            load.passStarted(millis);
            load.passEnded(millis + 200);
            accepted += millis >= 5_000 && policy.accepts(millis + 200) ? 1 : 0;
        }
        assertTrue(accepted >= 12, "accepted " + accepted);
    }

    // Guards against callers that are refused together, return together, and are refused again.
    @Test
    void callersRefusedTogetherAreToldDifferentTimes() {
        ConnectionPolicy policy = new ConnectionPolicy.WhileResponsive(load);
        load.passStarted(0);
        load.passEnded(80);
        load.passStarted(80);
        Set<Long> delays = new TreeSet<>();
        for (int number = 0; number < 20; number++) {
            delays.add(policy.retryAfterMillis(80));
        }
        assertEquals(20, delays.size(), delays.toString());
        assertTrue(Collections.min(delays) >= 80, delays.toString());
        assertTrue(Collections.max(delays) <= 500, delays.toString());
    }

    /** Runs a loop for some seconds, in which each taken connection costs the same time in the next pass. */
    private void run(ConnectionPolicy policy, double arrivalIntervalMillis) {
        double nextArrivalMillis = 0;
        while (nowMillis < RUN_MILLIS) {
            load.passEnded(nowMillis);
            if (arrivals.isEmpty() && nextArrivalMillis > nowMillis) {
                nowMillis = (long) Math.ceil(nextArrivalMillis);
            }
            load.passStarted(nowMillis);
            Deque<Long> ready = new ArrayDeque<>(arrivals);
            arrivals.clear();
            for (long arrivedMillis : ready) {
                readLate += nowMillis - arrivedMillis > 1_000 ? 1 : 0;
                nowMillis += REQUEST_MILLIS;
            }
            while (nextArrivalMillis <= nowMillis) {
                if (policy.accepts(nowMillis)) {
                    taken++;
                    arrivals.add((long) nextArrivalMillis);
                } else {
                    refused++;
                }
                nextArrivalMillis += arrivalIntervalMillis;
            }
        }
    }
}
