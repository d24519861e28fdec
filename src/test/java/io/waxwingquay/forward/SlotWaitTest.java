package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.waxwingquay.manifest.Engine;
import io.waxwingquay.transport.generated.SlotRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class SlotWaitTest implements SlotWait.Placement {

    private static final Engine ENGINE = new Engine(
            SlotFixture.SLOTS, 1_000, 200.0, 2, 1.0, List.of(new Engine.Model("m", 70.0, 6_000, 1_300, 600, 1.0)));

    private final SlotFixture fixture = new SlotFixture();
    private final Target first = fixture.target("1", 2);
    private final Target second = fixture.target("2", 4);
    private final Target third = fixture.target("3", 6);
    private final Target fourth = fixture.target("4", 8);
    private final TargetChooser chooser = new TargetChooser(
            new EngineCost("z"), new Random(1), EngineSelection.LeastCost::new, EngineSelection.LeastCost::new);
    private final SlotWait wait =
            new SlotWait(fixture.requester, this, () -> fixture.nowMillis, () -> decided = Optional.of(next()));
    private final Set<Target> withoutRoom = new HashSet<>();
    private Optional<Choice> decided = Optional.empty();

    @Test
    void grantedSlotIsUsedAndItsWaitIsKnown() {
        ask();
        fixture.advance(7);
        fixture.grant(fixture.lastId(first));
        assertEquals(Optional.of(new Choice.Send(first)), decided);
        wait.sent(first);
        assertEquals(List.of(), fixture.cancelledIds);
        assertEquals(7, wait.waitedMillis());
        assertEquals(1, wait.enginesAsked());
    }

    // Guards against a caller that is held, or told a needlessly long time, when no engine has room in time for it.
    @Test
    void threeDenialsRefuseWithTheShortestTime() {
        ask();
        fixture.deny(fixture.lastId(first), 900);
        ask();
        fixture.deny(fixture.lastId(second), 300);
        ask();
        fixture.deny(fixture.lastId(third), 600);
        Choice.Denied denied = assertInstanceOf(Choice.Denied.class, decided.orElseThrow());
        assertEquals(new SlotDenial(300, "room"), denied.denial());
        assertEquals(3, denied.engines());
        wait.forgetDenials();
        assertInstanceOf(Choice.Reserve.class, next());
    }

    // Guards against a refusal after a crash of several engines, whose side processes say nothing about room elsewhere,
    // and
    // against asking them again at once.
    @Test
    void lostEngineDoesNotCountAmongTheDenials() {
        ask();
        fixture.reply(fixture.lastId(first), io.waxwingquay.transport.generated.SlotDecision.DENIED, 0, "leaving");
        ask();
        fixture.deny(fixture.lastId(second), 900);
        ask();
        fixture.deny(fixture.lastId(third), 300);
        assertEquals(Optional.of(new Choice.Reserve(fourth)), decided);
        wait.forgetDenials();
        assertNotEquals(new Choice.Reserve(first), next());
    }

    // Guards against a request that is sent to an engine that has left, is full of other requests from here, or refuses
    // them, while the grant was under way.
    @Test
    void grantOfAnEngineThatLeavesMeanwhileIsReturned() {
        ask();
        first.announcedLeaving();
        fixture.grant(fixture.lastId(first));
        assertEquals(Optional.of(new Choice.Reserve(second)), decided);
        wait.ask(second);
        second.announcedRefusal(500, fixture.nowMillis);
        fixture.grant(fixture.lastId(second));
        assertEquals(Optional.of(new Choice.Reserve(third)), decided);
        wait.cancel();
        assertEquals(List.of(501L, 502L), fixture.cancelledIds);
    }

    // Guards against places at the side processes that stay booked though no caller comes back for them.
    @Test
    void placesWhoseTimesAreNotToldAreCancelled() {
        ask();
        fixture.deny(fixture.lastId(first), 900);
        ask();
        fixture.deny(fixture.lastId(second), 300);
        ask();
        fixture.deny(fixture.lastId(third), 600);
        wait.useShortestDenial();
        wait.forgetDenials();
        assertEquals(List.of(501L, 503L), fixture.cancelledIds);
    }

    // Guards against a place that stays booked for a request that another engine has taken.
    @Test
    void placeOfADenialIsCancelledWhenTheRequestIsSentElsewhere() {
        ask();
        fixture.deny(fixture.lastId(first), 900);
        ask();
        fixture.grant(fixture.lastId(second));
        wait.sent(second);
        assertEquals(List.of(501L), fixture.cancelledIds);
    }

    // Guards against a slot that stays taken until its grant expires, as the connection to the engine failed or the
    // caller left before one was open.
    @Test
    void slotOfAnAttemptThatWasNotSentIsReturnedOnce() {
        ask();
        fixture.grant(fixture.lastId(first));
        wait.sent(first);
        wait.unsent();
        wait.unsent();
        assertEquals(List.of(501L), fixture.cancelledIds);
    }

    // Guards against requests for slots without a pause where grants can't be used, as no connection or no room for the
    // body is left.
    @Test
    void engineWhoseGrantCouldNotBeUsedIsAskedAgainOnlyAfterAPause() {
        withoutRoom.addAll(List.of(first, second, third, fourth));
        for (Target target : List.of(first, second, third, fourth)) {
            ask();
            fixture.grant(fixture.lastId(target));
        }
        assertInstanceOf(Choice.Full.class, decided.orElseThrow());
        assertEquals(4, fixture.requests.size());
        wait.cancel();
        assertEquals(List.of(501L, 502L, 503L, 504L), fixture.cancelledIds);
        assertInstanceOf(Choice.Reserve.class, next());
    }

    // Guards against a partition in which a request waits 180 ms for one side process after the other.
    @Test
    void requestGoesOnByEstimatesAfterASilentSide() {
        ask();
        fixture.advance(180);
        assertEquals(Optional.of("send 1"), SlotFixture.name(decided.orElseThrow()));
        assertEquals(Optional.of("send 2"), SlotFixture.name(wait.choose(Set.of(first), fixture.nowMillis)));
        wait.sent(first);
        assertEquals(Optional.of("reserve 2"), SlotFixture.name(wait.choose(Set.of(first), fixture.nowMillis)));
    }

    // Guards against a request that stays behind others at one engine while slots are free at another, and against two
    // slots for one request.
    @Test
    void secondEngineWithFreeSlotsIsAskedAfter100MillisInAQueue() {
        ask();
        queueRounds(2);
        assertEquals(1, wait.enginesAsked());
        queueRounds(1);
        queueRounds(5);
        assertEquals(2, wait.enginesAsked());
        fixture.grant(fixture.lastId(second));
        assertEquals(Optional.of(new Choice.Send(second)), decided);
        wait.sent(second);
        assertEquals(List.of(fixture.lastId(first)), fixture.cancelledIds);
    }

    // Guards against a request that leaves its place in a queue because the second engine denies a slot.
    @Test
    void denialOfTheSecondEngineKeepsThePlaceAtTheFirst() {
        ask();
        queueRounds(4);
        fixture.deny(fixture.lastId(second), 900);
        assertEquals(Optional.empty(), decided);
        fixture.grant(fixture.lastId(first));
        assertEquals(Optional.of(new Choice.Send(first)), decided);
    }

    // Guards against a request that is held beyond its time by a side process that keeps it queued.
    @Test
    void queuedRequestWhoseTimeIsOverCountsAsDenied() {
        fixture.maxWaitMillis = 0;
        ask();
        fixture.queue(fixture.lastId(first));
        assertEquals(Optional.of(new Choice.Reserve(second)), decided);
        assertEquals(List.of(501L), fixture.cancelledIds);
    }

    // Guards against slots that stay taken when the caller leaves, the deadline passes or the process exits, and
    // against
    // a grant that has such a request sent.
    @Test
    void cancelledRequestReturnsLateGrants() {
        ask();
        queueRounds(4);
        wait.cancel();
        fixture.grant(fixture.lastId(first));
        fixture.grant(fixture.lastId(second));
        assertEquals(Optional.empty(), decided);
        assertEquals(List.of(501L, 502L, 501L, 502L), fixture.cancelledIds);
        int sent = fixture.requests.size();
        fixture.advance(1_000);
        assertEquals(sent, fixture.requests.size());
        assertNotEquals(0, wait.waitedMillis());
    }

    private void ask() {
        wait.ask(assertInstanceOf(Choice.Reserve.class, decided.orElseGet(this::next))
                .target());
    }

    /** Has the engines that are asked reply to each datagram that the request is queued. */
    private void queueRounds(int rounds) {
        for (int round = 0; round < rounds; round++) {
            fixture.requests.stream()
                    .map(SlotFixture.Sent::id)
                    .distinct()
                    .toList()
                    .forEach(fixture::queue);
            fixture.advance(60);
        }
    }

    private Choice next() {
        return wait.choose(Set.of(), fixture.nowMillis);
    }

    @Override
    public Choice choose(Set<Target> excluded, SlotUse use, long nowMillis) {
        EngineRequirements requirements = new EngineRequirements("m", Optional.empty(), 0, 800, use);
        return chooser.chooseEngine(List.of(first, second, third, fourth), excluded, ENGINE, requirements, nowMillis);
    }

    @Override
    public boolean mayReceive(Target target, long nowMillis) {
        return !withoutRoom.contains(target) && TargetChooser.mayReceive(target, nowMillis);
    }

    @Override
    public int freeSlots(Target target, long nowMillis) {
        return ENGINE.slots() - target.expectedLoad(nowMillis);
    }

    @Override
    public SlotRequest slotRequest(long nowMillis) {
        return fixture.message(nowMillis);
    }
}
