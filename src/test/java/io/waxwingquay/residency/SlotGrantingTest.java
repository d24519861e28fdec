package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.EngineReport;
import io.waxwingquay.fleet.RunningRequest;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.reservation.AdapterGate;
import io.waxwingquay.reservation.PromptPacer;
import io.waxwingquay.reservation.ReservationServer;
import io.waxwingquay.reservation.SlotBook;
import io.waxwingquay.transport.generated.EntryNews;
import io.waxwingquay.transport.generated.PeerDatagram;
import io.waxwingquay.transport.generated.SlotCancel;
import io.waxwingquay.transport.generated.SlotDecision;
import io.waxwingquay.transport.generated.SlotReply;
import io.waxwingquay.transport.generated.SlotRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SlotGrantingTest {

    private static final int SLOTS = 2;
    private static final HostPort ENTRY = new HostPort("10.0.0.1", 7382);

    private final PeerUpdates peers = new PeerUpdates("engines");
    private final List<SlotReply> replies = new ArrayList<>();
    private final List<Runnable> timers = new ArrayList<>();
    private long nowMillis;
    private int polls;
    private final SlotGranting granting = create();

    // Guards against requests that wait at a side that has stopped granting, or are counted by it.
    @Test
    void grantsEverythingWithTooFewEntries() {
        start(1);
        nowMillis = SlotGranting.STARTING_MILLIS;
        report(SLOTS, false);
        request(1);
        assertFalse(granting.isInForce());
        assertEquals(SlotDecision.GRANTED, last().getDecision());
        assertEquals(0, timers.size());
    }

    // Guards against requests sent to an engine that has left or was lost, at a side that does not grant slots.
    @Test
    void deniesAtAnEngineThatLeavesWhateverTheEntries() {
        start(1);
        nowMillis = SlotGranting.STARTING_MILLIS;
        report(0, true);
        request(1);
        assertEquals("leaving", last().getReason());
        report(0, false);
        granting.onEngineLost();
        request(2);
        assertEquals("leaving", last().getReason());
    }

    // Guards against a burst of requests that are all granted because the side has just restarted and has not heard all
    // entries yet.
    @Test
    void decidesBeforeTheEntriesAreKnown() {
        start(1);
        report(SLOTS, false);
        request(1);
        assertFalse(granting.isInForce());
        assertEquals(SlotDecision.QUEUED, last().getDecision());
    }

    // Guards against a slot that is noticed only at the next usual poll, and against polls while nothing waits.
    @Test
    void pollsOftenWhileRequestsWaitAndOnlyThen() {
        start(SLOTS);
        assertTrue(granting.isInForce());
        report(SLOTS, false);
        request(1);
        assertEquals(SlotDecision.QUEUED, last().getDecision());
        runTimer();
        assertEquals(1, polls);
        granting.onDatagram(ENTRY, PeerDatagram.slotCancel(new SlotCancel(1)));
        runTimer();
        assertEquals(1, polls);
        assertEquals(0, timers.size());
    }

    // Guards against polls in addition to those that are made for other reasons, as while an adapter loads.
    @Test
    void doesNotPollAfterAFreshReport() {
        start(SLOTS);
        report(SLOTS, false);
        request(1);
        nowMillis += SlotGranting.WAITING_MILLIS - 4;
        report(SLOTS, false);
        nowMillis += 4;
        timers.remove(0).run();
        assertEquals(0, polls);
        runTimer();
        assertEquals(1, polls);
    }

    // Guards against requests that wait on after granting has ended: each is granted as it is repeated, or dropped.
    @Test
    void noRequestWaitsOnAfterGrantingHasEnded() {
        start(SLOTS);
        nowMillis = SlotGranting.STARTING_MILLIS;
        report(SLOTS, false);
        request(1);
        request(2);
        granting.configure(Optional.empty());
        report(SLOTS, false);
        assertFalse(granting.isInForce());
        request(1);
        assertEquals(SlotDecision.GRANTED, last().getDecision());
        assertEquals(1, last().getId());
        for (long silentMillis = 0; silentMillis < 250; silentMillis += SlotGranting.WAITING_MILLIS) {
            runTimer();
        }
        assertEquals(0, timers.size());
    }

    // Guards against a waiting request that is not told of the slot that a report shows as free.
    @Test
    void reportThatShowsAFreeSlotGrantsIt() {
        start(SLOTS);
        report(SLOTS, false);
        request(1);
        report(SLOTS - 1, false);
        assertEquals(SlotDecision.GRANTED, last().getDecision());
        assertEquals(1, last().getId());
    }

    private SlotGranting create() {
        PromptPacer pacer = PromptPacer.disabled();
        SlotBook book = new SlotBook.Default(
                pacer, AdapterGate.DISABLED, () -> nowMillis, RandomGenerator.of("L64X128MixRandom"));
        ReservationServer server = new ReservationServer(book, (entry, reply) -> replies.add(reply));
        return new SlotGranting(
                peers, server, pacer, () -> nowMillis, (delayMillis, task) -> timers.add(task), () -> polls++);
    }

    private void start(int entries) {
        IntStream.range(0, entries)
                .forEach(each -> peers.onEntryUpdate(
                        new HostPort("10.1.0." + each, 7382),
                        new EntryNews("entry", 1, Map.of(), List.of(), List.of("10.0.0.9:80"), 0, List.of()),
                        nowMillis));
        granting.configure(Optional.of(new Engine(SLOTS, 1_000, 1_000, 1, 1, List.of())));
        report(0, false);
    }

    private void report(int running, boolean draining) {
        List<RunningRequest> runs = IntStream.range(0, running)
                .mapToObj(each -> new RunningRequest("other-" + each, 10, 1, 0))
                .toList();
        granting.onReport(
                new EngineReport(
                        7, 0, false, running, 0, 0, 1_000, List.of(), Set.of(), Set.of(), Set.of(), draining, runs),
                Set.of("m"));
    }

    private void request(long id) {
        SlotRequest request = new SlotRequest()
                .setId(id)
                .setAttemptId("attempt-" + id)
                .setModel("m")
                .setAccountWeight(1)
                .setObjectiveMillis(8_000)
                .setMaxWaitMillis(8_000);
        granting.onDatagram(ENTRY, PeerDatagram.slotRequest(request));
    }

    private SlotReply last() {
        return replies.get(replies.size() - 1);
    }

    private void runTimer() {
        nowMillis += SlotGranting.WAITING_MILLIS;
        timers.remove(0).run();
    }
}
