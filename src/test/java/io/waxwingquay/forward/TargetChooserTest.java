package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.manifest.Engine;
import io.waxwingquay.net.ClientPool;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.HeldModel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class TargetChooserTest {

    private static final Engine ENGINE =
            new Engine(10, 1_000, 200.0, 2, 1.0, List.of(new Engine.Model("m", 70.0, 6_000, 1_300, 600, 1.0)));

    private final TargetChooser chooser = new TargetChooser("a", new Random(1));
    private final long nowMillis = EventLoop.nowMillis();

    @Test
    void sendsToTheLessBusyEngineThatHoldsTheModel() {
        Target busy = target("busy", "a", false);
        busy.update(update(busy, 8, List.of()), nowMillis);
        Target free = target("free", "b", false);
        free.update(update(free, 1, List.of()), nowMillis);
        Choice choice = choose(List.of(busy, free), Optional.empty());
        assertEquals(free, assertInstanceOf(Choice.Send.class, choice).target());
    }

    // Guards against streams that end with their engine though another version could have replaced it: the only engine
    // of
    // its software version is taken first because it is the least busy.
    @Test
    void engineWithASubstituteOfItsVersionIsPreferred() {
        Target sole = target("sole", "a", "v1.1", false);
        sole.update(update(sole, 1, List.of()), nowMillis);
        Target first = target("first", "a", "v1", false);
        first.update(update(first, 2, List.of()), nowMillis);
        Target second = target("second", "a", "v1", false);
        second.update(update(second, 2, List.of()), nowMillis);
        Choice choice = choose(List.of(sole, first, second), Optional.empty());
        assertEquals(
                "v1",
                assertInstanceOf(Choice.Send.class, choice).target().record().softwareVersion());
        assertEquals(
                sole,
                assertInstanceOf(Choice.Send.class, choose(List.of(sole, first), Optional.empty()))
                        .target());
    }

    // Guards against engines of a version with substitutes that are filled while the only one of another is idle.
    @Test
    void engineWithoutASubstituteIsPreferredToFullOnes() {
        Target sole = target("sole", "a", "v1.1", false);
        sole.update(update(sole, 1, List.of()), nowMillis);
        Target first = target("first", "a", "v1", false);
        first.update(update(first, 10, List.of()), nowMillis);
        Target second = target("second", "a", "v1", false);
        second.update(update(second, 10, List.of()), nowMillis);
        Choice choice = choose(List.of(sole, first, second), Optional.empty());
        assertEquals(sole, assertInstanceOf(Choice.Send.class, choice).target());
    }

    // Guards against avoiding engines with rare failures: when half the engines lose one answer in twenty, the others
    // would be full and half of their answers late, while an interrupted stream is resumed elsewhere.
    @Test
    void engineWithRareFailuresIsPreferredToAFullOne() {
        Target full = target("full", "a", false);
        full.update(update(full, 10, List.of()), nowMillis);
        Target failing = target("failing", "a", false);
        failing.update(update(failing, 1, List.of()), nowMillis);
        IntStream.range(0, 19).forEach(number -> failing.attemptHistory().succeeded(30, nowMillis));
        failing.attemptHistory().failed(nowMillis);
        Choice choice = choose(List.of(full, failing), Optional.empty());
        assertEquals(failing, assertInstanceOf(Choice.Send.class, choice).target());
    }

    // Guards against a herd: all entries receive the same update, and would fill the engine that was least busy before
    // the next one.
    @Test
    void requestsBetweenTwoUpdatesAreSpread() {
        Target first = target("first", "a", false);
        first.update(update(first, 1, List.of()).setEntries(5), nowMillis);
        Target second = target("second", "a", false);
        second.update(update(second, 3, List.of()).setEntries(5), nowMillis);
        first.requestSent(Optional.of("m"), Optional.empty(), 0, EventLoop.nowMillis());
        Choice choice = choose(List.of(first, second), Optional.empty());
        assertEquals(second, assertInstanceOf(Choice.Send.class, choice).target());
    }

    // Guards against requests to a draining replica, which would be cut off when it exits, though it is the least busy.
    @Test
    void sendsNothingToADrainingReplica() {
        Target draining = target("leaving", "a", true);
        Target staying = target("staying", "b", false);
        Choice choice = chooser.choosePlain(List.of(draining, staying), Set.of(), nowMillis);
        assertEquals(staying, assertInstanceOf(Choice.Send.class, choice).target());
        assertInstanceOf(Choice.NoReplica.class, chooser.choosePlain(List.of(draining), Set.of(), nowMillis));
    }

    // Guards against requests to a replica that left without notice; its missing row might as well come back.
    @Test
    void sendsNothingToAnUnlistedReplicaWhileAnotherIsListed() {
        Target unlisted = target("missing", "a", false);
        Target listed = target("listed", "b", false);
        unlisted.markUnlisted();
        Choice choice = chooser.choosePlain(List.of(unlisted, listed), Set.of(), nowMillis);
        assertEquals(listed, assertInstanceOf(Choice.Send.class, choice).target());
        assertInstanceOf(
                Choice.NoReplica.class, chooser.choosePlain(List.of(unlisted, listed), Set.of(listed), nowMillis));
    }

    // Guards against rejecting all requests after an outage in which the rows of live replicas expired.
    @Test
    void sendsToUnlistedReplicasWhenAllAre() {
        Target first = target("first", "a", false);
        Target second = target("second", "a", false);
        first.markUnlisted();
        second.markUnlisted();
        assertInstanceOf(Choice.Send.class, chooser.choosePlain(List.of(first, second), Set.of(first), nowMillis));
    }

    // Guards against sending all requests to the first replica whose row is back after an outage.
    @Test
    void unlistedReplicaThatIsHeardAndNotDrainingStaysInUse() {
        Target unlisted = target("missing", "a", false);
        unlisted.answerBegan(false);
        unlisted.markUnlisted();
        assertTrue(unlisted.mayHaveDeparted());
        unlisted.answerBegan(false);
        assertFalse(unlisted.mayHaveDeparted());
        unlisted.answerBegan(true);
        assertTrue(unlisted.mayHaveDeparted());
        unlisted.update(update(unlisted, 1, List.of()), nowMillis);
        assertFalse(unlisted.mayHaveDeparted());
    }

    // Guards against requests to an unresponsive VM: the side process there is unresponsive too, so the last update
    // makes the engine the least busy of all.
    @Test
    void sendsNothingToAnUnresponsiveEngineWhileAnotherResponds() {
        Target unresponsive = target("silent", "a", false);
        unresponsive.update(update(unresponsive, 0, List.of()), nowMillis - 1_200);
        Target responsive = target("heard", "b", false);
        responsive.update(update(responsive, 9, List.of()), nowMillis - 100);
        Choice choice = choose(List.of(unresponsive, responsive), Optional.empty());
        assertEquals(responsive, assertInstanceOf(Choice.Send.class, choice).target());
    }

    // Guards against rejecting all requests when the network between our processes is cut, while the engines may be
    // healthy.
    @Test
    void sendsToAnUnresponsiveEngineWhenNoneResponds() {
        Target unresponsive = target("silent", "a", false);
        unresponsive.update(update(unresponsive, 0, List.of()), nowMillis - 1_200);
        Choice choice = choose(List.of(unresponsive), Optional.empty());
        assertEquals(unresponsive, assertInstanceOf(Choice.Send.class, choice).target());
    }

    // Guards against requests that are held until their callers leave: one is enough to find out whether the only
    // engine with the model is unresponsive.
    @Test
    void sendsOneRequestAtATimeToAnUnresponsiveEngine() {
        Target unresponsive = target("silent", "a", false);
        unresponsive.update(update(unresponsive, 0, List.of()), nowMillis - 1_200);
        unresponsive.requestSent(Optional.of("m"), Optional.empty(), 0, nowMillis);
        assertInstanceOf(Choice.Full.class, choose(List.of(unresponsive), Optional.empty()));
    }

    // Guards against taking an engine for unresponsive at its first request: without requests from here it is heard
    // every few seconds in a large deployment.
    @Test
    void idleEngineIsNotUnresponsiveAtItsFirstRequest() {
        Target idle = target("idle", "a", false);
        idle.receiverCount(70);
        idle.update(update(idle, 0, List.of()), nowMillis - 1_200);
        idle.requestSent(Optional.of("m"), Optional.empty(), 0, nowMillis);
        assertFalse(idle.isUnresponsive(nowMillis));
        assertTrue(idle.isUnresponsive(nowMillis + 1_200));
    }

    @Test
    void loadsAnAdapterIntoTheEngineWithAFreeSlot() {
        Target full = target("full", "a", false);
        full.update(update(full, 0, List.of("a1", "a2")), nowMillis);
        Target withRoom = target("room", "a", false);
        withRoom.update(update(withRoom, 0, List.of("a1")), nowMillis);
        Choice choice = choose(List.of(full, withRoom), Optional.of("a9"));
        assertEquals(
                withRoom, assertInstanceOf(Choice.LoadAdapter.class, choice).target());
    }

    // Guards against waiting seconds for an adapter: an engine that loads a model refuses orders for adapters until it
    // is done, while another engine loads it at once.
    @Test
    void requestsNoAdapterFromAnEngineThatLoadsAModel() {
        Target loading = target("loading", "a", false);
        loading.update(update(loading, 0, List.of()).setLoadingModel("n").setLoadingMillis(3_000), nowMillis);
        Target busy = target("busy", "b", false);
        busy.update(update(busy, 9, List.of("a1", "a2")), nowMillis);
        Choice choice = choose(List.of(loading, busy), Optional.of("a9"));
        assertEquals(busy, assertInstanceOf(Choice.LoadAdapter.class, choice).target());
    }

    // Guards against bursts: one engine that grants slots is enough to choose at random, as the updates of others may
    // be
    // late.
    @Test
    void strategyDependsOnWhetherSlotsAreGranted() {
        Target first = target("first", "a", false);
        first.update(update(first, 1, List.of()), nowMillis);
        Target second = target("second", "a", false);
        second.update(update(second, 1, List.of()), nowMillis);
        List<Target> both = List.of(first, second);
        assertInstanceOf(EngineSelection.LeastCost.class, selectionFor(both, Optional.of("a1")));
        second.update(update(second, 1, List.of()).setNumber(2).setGrantsSlots(true), nowMillis);
        assertInstanceOf(WeightedPair.class, selectionFor(both, Optional.empty()));
        assertInstanceOf(AdapterAffinity.class, selectionFor(both, Optional.of("a1")));
    }

    // Guards against a request that waits here, out of the order of all entries, for a slot that an engine would grant.
    @Test
    void fullEngineThatGrantsSlotsMayBeChosen() {
        Target granting = target("granting", "a", false);
        granting.update(update(granting, 40, List.of()).setGrantsSlots(true), nowMillis);
        assertFalse(choose(List.of(granting), Optional.empty()) instanceof Choice.Full);
    }

    @Test
    void reportsWhenAnAbsentModelIsExpected() {
        Target other = target("other", "a", false);
        EngineNews update = update(other, 0, List.of()).setModels(new ArrayList<>());
        other.update(update.setLoadingModel("m").setLoadingMillis(900), nowMillis);
        Choice choice = choose(List.of(other), Optional.empty());
        assertEquals(900, assertInstanceOf(Choice.ModelAbsent.class, choice).readyMillis());
    }

    @Test
    void reportsFullWhenAllEnginesWithTheModelAreFull() {
        Target full = target("full", "a", false);
        full.update(update(full, 40, List.of()), nowMillis);
        assertInstanceOf(Choice.Full.class, choose(List.of(full), Optional.empty()));
    }

    // Guards against a refusal by an entry's own estimate where the side process decides, and against asking a full
    // engine
    // while another has room.
    @Test
    void fullEngineThatGrantsSlotsIsAskedAfterThoseWithRoom() {
        Target full = target("full", "a", false);
        full.update(update(full, 40, List.of()).setGrantsSlots(true), nowMillis);
        Target withRoom = target("room", "b", false);
        withRoom.update(update(withRoom, 9, List.of()).setGrantsSlots(true), nowMillis);
        assertEquals(new Choice.Reserve(full), choose(List.of(full), Optional.of("a1")));
        assertEquals(new Choice.Reserve(withRoom), choose(List.of(full, withRoom), Optional.empty()));
        withRoom.slotReplied(10, nowMillis);
        full.slotReplied(3, nowMillis);
        assertEquals(new Choice.Reserve(full), choose(List.of(full, withRoom), Optional.empty()));
    }

    // Guards against a wait for a slot that nobody grants: the update is too old, or the engine may have departed.
    @Test
    void slotIsRequestedOnlyOfASideProcessThatIsHeard() {
        Target engine = target("e", "a", false);
        engine.update(update(engine, 1, List.of()).setGrantsSlots(true), nowMillis);
        assertInstanceOf(Choice.Reserve.class, choose(List.of(engine), Optional.empty()));
        assertFalse(engine.grantsSlots(nowMillis + 1_501));
        engine.markUnlisted();
        assertInstanceOf(Choice.Send.class, choose(List.of(engine), Optional.empty()));
    }

    private Choice choose(List<Target> targets, Optional<String> adapter) {
        return chooser.chooseEngine(targets, Set.of(), ENGINE, new EngineRequirements("m", adapter, 0, 800), nowMillis);
    }

    private EngineSelection selectionFor(List<Target> targets, Optional<String> adapter) {
        return chooser.selectionFor(targets, new EngineRequirements("m", adapter, 0, 800), nowMillis);
    }

    private static EngineNews update(Target target, int running, List<String> adapters) {
        return new EngineNews()
                .setEngineAddress(target.address().toString())
                .setNumber(1)
                .setRunning(running)
                .setNearModels(List.of())
                .setModels(new ArrayList<>(List.of(new HeldModel("m", new ArrayList<>(adapters)))));
    }

    private static Target target(String id, String zone, boolean draining) {
        return target(id, zone, "v1", draining);
    }

    private static Target target(String id, String zone, String softwareVersion, boolean draining) {
        HostPort address = new HostPort("10.0.0.1", 80);
        ReplicaRecord record = new ReplicaRecord(
                id,
                1,
                "s",
                softwareVersion,
                address,
                zone,
                10,
                draining,
                OptionalLong.empty(),
                List.of(new ReplicaRecord.ResidentModel("m", List.of())));
        return new Target(record, new ClientPool(null, new InetSocketAddress("127.0.0.1", 1), 10));
    }
}
