package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SlotRequesterTest implements SlotRequester.Listener {

    private final SlotFixture fixture = new SlotFixture();
    private final Target engine = fixture.target("e", 3);
    private final List<String> heard = new ArrayList<>();

    @Test
    void grantEndsTheCallAndTellsItsWaitAndTheAdapter() {
        request();
        fixture.advance(5);
        fixture.grant(501);
        fixture.advance(1_000);
        assertEquals(List.of("granted"), heard);
        assertEquals(1, fixture.requests.size());
        assertEquals(List.of("requested", "granted 5"), fixture.counts);
        assertTrue(engine.holdsAdapter("m", "a", fixture.nowMillis));
        assertEquals(7, engine.expectedLoad(fixture.nowMillis));
    }

    // Guards against a request that waits for as long as its caller does because one datagram was lost.
    @Test
    void lostRequestOrReplyIsRepeatedUnderTheSameIdWithTheTimesOfThatMoment() {
        request();
        fixture.maxWaitMillis = 940;
        fixture.advance(60);
        assertEquals(
                List.of(new SlotFixture.Sent(engine, 501, 1_000), new SlotFixture.Sent(engine, 501, 940)),
                fixture.requests);
        fixture.grant(501);
        assertEquals(List.of("granted"), heard);
    }

    // Guards against requests that wait for a side process that is gone, and against each of them finding that out
    // anew.
    @Test
    void sideWithoutAReplyToThreeDatagramsIsSilentFor180MillisAndNotAskedForTwoSeconds() {
        request();
        fixture.advance(179);
        assertEquals(List.of(), heard);
        fixture.advance(1);
        assertEquals(List.of("silent"), heard);
        assertEquals(3, fixture.requests.size());
        assertEquals(List.of(501L), fixture.cancelledIds);
        engine.update(SlotFixture.update(3).setNumber(2), fixture.nowMillis + 1_000);
        assertFalse(engine.grantsSlots(fixture.nowMillis + 1_999));
        assertTrue(engine.grantsSlots(fixture.nowMillis + 2_000));
    }

    // Guards against waiting on for a side process that is lost after it has queued the request, and against taking one
    // for lost that replies while the request waits for long.
    @Test
    void silenceCountsFromTheLastReply() {
        request();
        for (int round = 0; round < 10; round++) {
            fixture.queue(501);
            fixture.advance(60);
        }
        fixture.advance(179);
        assertEquals(10, heard.size());
        fixture.advance(1);
        assertEquals("silent", heard.get(10));
    }

    // Guards against a slot that stays taken though nobody uses it: its grant arrives after the request was cancelled,
    // denied or given up.
    @Test
    void lateGrantOfAnEndedCallIsCancelled() {
        fixture.requester.cancel(request());
        fixture.grant(501);
        request();
        fixture.deny(502, 400);
        fixture.grant(502);
        request();
        fixture.advance(180);
        fixture.grant(503);
        assertEquals(List.of(501L, 501L, 502L, 503L, 503L), fixture.cancelledIds);
        assertEquals(List.of("denied 400 room", "silent"), heard);
    }

    // Guards against the return of a slot in use, and against a request that is sent twice: datagrams may be doubled,
    // and contradict each other when they overtake.
    @Test
    void repliesAfterTheFirstDecisionChangeNothing() {
        request();
        fixture.grant(501);
        fixture.grant(501);
        fixture.queue(501);
        fixture.deny(501, 100);
        assertEquals(List.of("granted"), heard);
        assertEquals(List.of(), fixture.cancelledIds);
    }

    // Guards against a failure of the entry by a reply of an earlier lifetime or of a newer version of the protocol.
    @Test
    void unknownRepliesAreIgnored() {
        request();
        fixture.grant(77);
        fixture.reply(501, null, 0, null);
        assertEquals(List.of(), heard);
        assertEquals(List.of(), fixture.cancelledIds);
        fixture.advance(180);
        assertEquals(List.of("silent"), heard);
    }

    private SlotRequester.Call request() {
        return fixture.requester.request(engine, fixture::message, this);
    }

    @Override
    public void granted(SlotRequester.Call call) {
        heard.add("granted");
    }

    @Override
    public void queued(SlotRequester.Call call, long waitMillis) {
        heard.add("queued " + waitMillis);
    }

    @Override
    public void denied(SlotRequester.Call call, SlotDenial denial) {
        heard.add("denied " + denial.retryAfterMillis() + " " + denial.reason());
    }

    @Override
    public void silent(SlotRequester.Call call) {
        heard.add("silent");
    }
}
