package io.waxwingquay.reservation;

import static io.waxwingquay.reservation.SlotBookFixture.ENTRY;
import static io.waxwingquay.reservation.SlotBookFixture.LIVE;
import static io.waxwingquay.reservation.SlotBookFixture.RELAXED;
import static io.waxwingquay.reservation.SlotBookFixture.URGENT;
import static io.waxwingquay.reservation.SlotBookFixture.granted;
import static io.waxwingquay.reservation.SlotBookFixture.reasons;
import static io.waxwingquay.reservation.SlotBookFixture.request;
import static io.waxwingquay.reservation.SlotBookFixture.withPrompt;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.reservation.SlotDecision.Denied;
import io.waxwingquay.reservation.SlotDecision.Granted;
import io.waxwingquay.reservation.SlotDecision.Queued;
import io.waxwingquay.reservation.SlotDecision.Reason;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class SlotBookTest {

    private static final int SLOTS = 8;

    private final SlotBookFixture engine = new SlotBookFixture(SLOTS);

    // Guards against an order of arrival alone: rank comes first, then the caller's age, then arrival.
    @Test
    void grantsByRankThenAgeThenArrival() {
        engine.occupy(SLOTS);
        engine.book.submit(request(1, RELAXED));
        engine.book.submit(request(2, LIVE));
        engine.book.submit(request(3, LIVE));
        engine.book.submit(request(4, LIVE, "", 500, 8_000));
        engine.book.submit(request(5, URGENT));
        List<Long> order = new ArrayList<>();
        for (int running = SLOTS - 1; running >= 0; running--) {
            engine.running.remove("other-" + running);
            engine.report().forEach(answer -> order.add(answer.key().id()));
        }
        assertEquals(List.of(5L, 4L, 2L, 3L, 1L), order);
    }

    // Guards against preempted requests: urgent ones never get more than the slots that are free.
    @Test
    void grantsNoMoreThanTheSlots() {
        LongStream.range(0, SLOTS).forEach(id -> assertInstanceOf(Granted.class, engine.decide(request(id, RELAXED))));
        assertEquals(SLOTS, engine.book.load());
        assertInstanceOf(Queued.class, engine.decide(request(100, URGENT)));
        LongStream.range(0, SLOTS).forEach(id -> engine.running.add("a" + id));
        assertTrue(engine.report().isEmpty());
        assertEquals(SLOTS, engine.book.load());
    }

    // Guards against urgent requests that find every slot taken by relaxed ones, and slots kept free that no one needs.
    @Test
    void keepsASlotForExpectedUrgentRequestsUntilNoneCome() {
        for (int id = 0; id < 10; id++) {
            engine.book.submit(request(id, URGENT));
            engine.book.cancel(new SlotRequest.Key(ENTRY, id));
            engine.nowMillis += 100;
        }
        engine.occupy(SLOTS - 1);
        assertInstanceOf(Queued.class, engine.decide(request(20, RELAXED)));
        assertInstanceOf(Granted.class, engine.decide(request(21, URGENT)));
        engine.book.cancel(new SlotRequest.Key(ENTRY, 21));
        for (long elapsedMillis = 0; elapsedMillis < RankRates.SILENT_MILLIS; elapsedMillis += 50) {
            engine.nowMillis += 50;
            engine.book.submit(request(20, RELAXED));
            engine.report();
        }
        assertInstanceOf(Granted.class, engine.decide(request(20, RELAXED)));
    }

    // Guards against one hot account that holds and requests everything: small ones get their part at once, and what
    // they leave is used.
    @Test
    void accountsBelowTheirShareComeFirstAndNothingIsLeftUnused() {
        LongStream.range(0, 30).forEach(id -> engine.book.submit(request(id, RELAXED, "hot", 5_000, 60_000)));
        LongStream.range(0, SLOTS).forEach(id -> engine.running.add("a" + id));
        engine.report();
        LongStream.range(100, 103).forEach(id -> engine.book.submit(request(id, RELAXED, "small" + id, 0, 60_000)));
        List<Long> order = new ArrayList<>();
        for (int ended = 0; ended < 5; ended++) {
            engine.running.remove("a" + ended);
            List<Long> now = granted(engine.report());
            now.forEach(id -> engine.running.add("a" + id));
            order.addAll(now);
        }
        assertEquals(List.of(100L, 101L, 102L, 8L, 9L), order);
    }

    // Guards against requests that are held until their deadline although they can't be served before.
    @Test
    void deniesAtOnceWhatCannotBeServedInItsTime() {
        engine.occupy(SLOTS);
        Denied denied = assertInstanceOf(Denied.class, engine.decide(request(1, LIVE, "", 0, 100)));
        assertEquals(Reason.ROOM, denied.reason());
        assertTrue(denied.retryAfterMillis() > 100 && denied.retryAfterMillis() < 1_000);
        assertInstanceOf(Queued.class, engine.decide(request(2, LIVE, "", 0, 300)));
        engine.nowMillis += 200;
        assertEquals(List.of(Reason.ROOM), reasons(engine.advance(0)));
        assertFalse(engine.book.hasWaiting());
    }

    // Guards against a repeated datagram that takes a second slot, loses its position or extends its wait.
    @Test
    void repeatedRequestsChangeNothing() {
        engine.occupy(SLOTS - 1);
        assertInstanceOf(Granted.class, engine.decide(request(1, LIVE)));
        assertInstanceOf(Granted.class, engine.decide(request(1, LIVE)));
        assertEquals(SLOTS, engine.book.load());
        engine.book.submit(request(2, LIVE));
        engine.book.submit(request(3, LIVE));
        assertInstanceOf(Queued.class, engine.decide(request(2, LIVE, "", 0, 60_000)));
        engine.book.cancel(new SlotRequest.Key(ENTRY, 1));
        assertEquals(List.of(2L), granted(engine.advance(1)));
    }

    // Guards against a slot for a request whose cancellation overtook it, or whose first datagram comes again.
    @Test
    void cancelledRequestsGetNoSlot() {
        engine.book.cancel(new SlotRequest.Key(ENTRY, 1));
        assertTrue(engine.book.submit(request(1, LIVE)).isEmpty());
        assertEquals(0, engine.book.load());
        engine.occupy(SLOTS);
        Denied first = (Denied) engine.decide(request(2, LIVE, "", 0, 1));
        engine.nowMillis += 10;
        Denied again = (Denied) engine.decide(request(2, LIVE, "", 0, 1));
        assertEquals(first.retryAfterMillis() - 10, again.retryAfterMillis());
    }

    // Guards against retry times that stay booked at each of the engines that denied a request: the caller uses only
    // one.
    @Test
    void cancelledDenialFreesItsRetryTime() {
        engine.occupy(SLOTS);
        for (int id = 0; id < 60; id++) {
            assertInstanceOf(Denied.class, engine.decide(request(id, LIVE, "", 0, 1)));
            engine.book.cancel(new SlotRequest.Key(ENTRY, id));
        }
        Denied denied = (Denied) engine.decide(request(60, LIVE, "", 0, 1));
        assertTrue(denied.retryAfterMillis() < 1_000, () -> "retry after " + denied.retryAfterMillis());
    }

    // Guards against a granted request that counts twice while it is queued in the engine, by its lease and by the
    // report.
    @Test
    void grantedRequestsThatTheEngineQueuesCountOnce() {
        engine.occupy(SLOTS - 2);
        assertInstanceOf(Granted.class, engine.decide(request(1, LIVE)));
        engine.nowMillis += Grants.TRANSIT_MILLIS;
        engine.queued = 1;
        engine.report();
        assertEquals(SLOTS - 1, engine.book.load());
        assertInstanceOf(Granted.class, engine.decide(request(2, LIVE)));
        assertEquals(SLOTS, engine.book.load());
        assertInstanceOf(Queued.class, engine.decide(request(3, LIVE)));
    }

    // Guards against a request of another sender that is queued in the engine and taken for one that is still on its
    // way.
    @Test
    void queuedRequestsOfOthersCountBesideFreshGrants() {
        engine.occupy(SLOTS - 2);
        assertInstanceOf(Granted.class, engine.decide(request(1, LIVE)));
        engine.queued = 1;
        engine.report();
        assertEquals(SLOTS, engine.book.load());
    }

    // Guards against slots and places in the queue that an entry holds after it is gone.
    @Test
    void grantsAndSilentRequestsExpire() {
        engine.occupy(SLOTS - 1);
        engine.book.submit(request(1, LIVE));
        engine.book.submit(request(2, LIVE));
        engine.nowMillis += 200;
        engine.book.submit(request(2, LIVE));
        assertEquals(List.of(), engine.advance(49));
        assertEquals(List.of(2L), granted(engine.advance(1)));
        engine.book.submit(request(3, LIVE));
        engine.advance(250);
        assertFalse(engine.book.hasWaiting());
    }

    // Guards against requests that wait at an engine that restarted, leaves or is lost, and grants that count after it.
    @Test
    void deniesWaitingRequestsOfALostEngine() {
        LongStream.range(0, SLOTS + 1).forEach(id -> engine.book.submit(request(id, LIVE)));
        engine.bornMillis++;
        assertEquals(List.of(Reason.LEAVING), reasons(engine.report()));
        assertEquals(0, engine.book.load());
        engine.occupy(SLOTS);
        engine.book.submit(request(20, LIVE));
        engine.accepting = false;
        assertEquals(List.of(Reason.LEAVING), reasons(engine.report()));
        engine.accepting = true;
        engine.report();
        engine.book.submit(request(21, LIVE));
        assertEquals(List.of(Reason.LEAVING), reasons(engine.book.engineLost()));
        assertEquals(List.of(Reason.LEAVING), reasons(engine.book.submit(request(22, LIVE))));
    }

    // Guards against an engine that hangs with its last report and is granted its free slots every 250 ms.
    @Test
    void silentEngineGetsNothing() {
        engine.nowMillis += SlotPool.MAX_REPORT_AGE_MILLIS + 1;
        assertEquals(List.of(Reason.LEAVING), reasons(engine.book.submit(request(1, LIVE))));
    }

    // Guards against requests that wait for a model that the engine unloads.
    @Test
    void deniesRequestsOfAModelThatLeaves() {
        engine.occupy(SLOTS);
        engine.book.submit(request(1, LIVE));
        engine.models = Set.of("other");
        assertEquals(List.of(Reason.MODEL), reasons(engine.report()));
    }

    // Guards against an adapter that loads slowly and blocks all requests behind it, and one that can't be loaded.
    @Test
    void requestsWithoutAnAdapterPassThoseThatWaitForOne() {
        AdapterGate gate = (model, adapter, nowMillis) ->
                adapter.equals("never") ? AdapterGate.Readiness.UNAVAILABLE : AdapterGate.Readiness.LOADING;
        SlotBookFixture loading = new SlotBookFixture(SLOTS, PromptPacer.disabled(), gate);
        assertInstanceOf(Queued.class, loading.decide(withPrompt(request(1, LIVE), 100, Optional.of("slow"))));
        assertInstanceOf(Granted.class, loading.decide(request(2, LIVE)));
        assertEquals(
                List.of(Reason.ADAPTER),
                reasons(loading.book.submit(withPrompt(request(3, LIVE), 100, Optional.of("never")))));
    }

    // Guards against a large prompt that smaller ones overtake for ever, also those of later ranks.
    @Test
    void largePromptIsNotOvertakenForEver() {
        SlotBookFixture paced = new SlotBookFixture(SLOTS, new LargePromptsWait(), AdapterGate.DISABLED);
        SlotRequest large = withPrompt(request(1, LIVE), 10_000, Optional.empty());
        assertInstanceOf(Queued.class, paced.decide(large));
        assertInstanceOf(Granted.class, paced.decide(request(2, LIVE)));
        paced.nowMillis += LIVE.objectiveMillis() / 2 + 1;
        assertInstanceOf(Queued.class, paced.decide(request(3, LIVE)));
        assertInstanceOf(Queued.class, paced.decide(request(4, RELAXED)));
        assertInstanceOf(Granted.class, paced.decide(request(5, URGENT)));
    }

    // Guards against a large prompt that holds back all others although its adapter is not loaded.
    @Test
    void largePromptWithoutItsAdapterHoldsBackNone() {
        SlotBookFixture paced = new SlotBookFixture(
                SLOTS, new LargePromptsWait(), (model, adapter, nowMillis) -> AdapterGate.Readiness.LOADING);
        paced.book.submit(withPrompt(request(1, LIVE), 10_000, Optional.of("slow")));
        paced.nowMillis += LIVE.objectiveMillis() / 2 + 1;
        assertInstanceOf(Granted.class, paced.decide(request(2, LIVE)));
    }

    // Guards against slots kept free for urgent requests that this engine refuses for another reason than its load.
    @Test
    void keepsNoSlotForRequestsThatTheEngineCannotServe() {
        engine.models = Set.of("other");
        engine.report();
        for (int id = 0; id < 10; id++) {
            engine.book.submit(request(id, URGENT));
            engine.nowMillis += 50;
        }
        engine.models = Set.of("m");
        engine.occupy(SLOTS - 1);
        assertInstanceOf(Granted.class, engine.decide(request(20, RELAXED)));
    }

    // Guards against memory that grows with the requests: beyond the bound the last in order is denied.
    @Test
    void boundsTheWaitingRequests() {
        engine.occupy(SLOTS);
        LongStream.range(0, SlotBook.Default.MAX_WAITING)
                .forEach(id -> engine.book.submit(request(id, RELAXED, "", 0, 600_000)));
        List<SlotAnswer> answers = engine.book.submit(request(10_000, URGENT));
        assertEquals(List.of(Reason.ROOM), reasons(answers));
        assertEquals(SlotBook.Default.MAX_WAITING - 1L, answers.get(0).key().id());
    }

    // Guards against entries that are told to wait by an engine that serves them without a grant.
    @Test
    void disabledAnswersNothing() {
        SlotBook disabled = new SlotBook.Disabled();
        assertTrue(disabled.submit(request(1, LIVE)).isEmpty());
        assertFalse(disabled.hasWaiting());
    }

    private static final class LargePromptsWait implements PromptPacer {

        @Override
        public long delayMillis(long promptTokens, long pauseObjectiveMillis, long nowMillis) {
            return promptTokens > 1_000 ? 50 : 0;
        }

        @Override
        public void admitted(long promptTokens, long pauseObjectiveMillis, long nowMillis) {}

        @Override
        public void observed(long bornMillis, List<io.waxwingquay.fleet.RunningRequest> runs, long nowMillis) {}

        @Override
        public int effectiveSlots(int slots) {
            return slots;
        }
    }
}
