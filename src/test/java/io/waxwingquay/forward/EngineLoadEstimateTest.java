package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.transport.generated.EngineNews;
import org.junit.jupiter.api.Test;

class EngineLoadEstimateTest {

    private static final long UPDATE_MILLIS = 5_000;
    private static final int SLOTS = 32;

    private final EngineLoadEstimate estimate = new EngineLoadEstimate();

    // Guards against refusals for lack of room while most new connections reach this entry: with each request of its
    // own
    // it counted one of each other entry, which send hardly any, and half-empty engines seemed full.
    @Test
    void entryThatSendsNearlyAllRequestsDoesNotAssumeThatOthersSendAsMany() {
        EngineNews update = updateAfter(10, 11);
        send(3, UPDATE_MILLIS);
        assertTrue(estimate.hasRoomFor(update, 200, SLOTS, 100, UPDATE_MILLIS + 200));
        assertTrue(estimate.expectedLoad(update) < 20, "load " + estimate.expectedLoad(update));
    }

    // Guards against overfilling an engine by an entry that sends a twentieth of its requests.
    @Test
    void entryThatSendsFewRequestsAssumesThatOthersSendTheRest() {
        EngineNews update = updateAfter(1, 20);
        send(2, UPDATE_MILLIS);
        assertFalse(estimate.hasRoomFor(update, 400, SLOTS, 100, UPDATE_MILLIS + 400));
    }

    @Test
    void entryWithoutRequestsAtTheUpdateAssumesThatAllSendAlike() {
        EngineNews update = updateAfter(0, 20);
        send(1, UPDATE_MILLIS);
        assertEquals(45, estimate.expectedLoad(update));
    }

    // Guards against taking an engine for full, and another data centre for cheaper, after each request from here.
    @Test
    void reportedLoadAssumesNothingOfOtherEntries() {
        EngineNews update = updateAfter(0, 20);
        send(2, UPDATE_MILLIS);
        estimate.requestEnded();
        assertEquals(21, estimate.reportedLoad(update));
    }

    @Test
    void endedRequestsNoLongerCountWithoutAnUpdate() {
        send(2, UPDATE_MILLIS);
        estimate.requestEnded();
        assertEquals(1, estimate.inFlight());
    }

    /** Sends requests, and returns the update of an engine that runs these among others, with 25 entries. */
    private EngineNews updateAfter(int own, int running) {
        send(own, UPDATE_MILLIS - 300);
        estimate.updated();
        return new EngineNews().setRunning(running).setEntries(25);
    }

    private void send(int count, long nowMillis) {
        for (int number = 0; number < count; number++) {
            estimate.requestSent(100, nowMillis);
        }
    }
}
