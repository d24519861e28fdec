package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.net.ClientPool;
import io.waxwingquay.net.EventLoop;
import io.waxwingquay.peer.UpdateInterval;
import io.waxwingquay.peer.UpdateSequence;
import io.waxwingquay.transport.generated.EngineNews;
import io.waxwingquay.transport.generated.HeldModel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class TargetTest {

    private static final long BORN_MILLIS = 7;

    private final UpdateSequence numbers = new UpdateSequence(1_000);
    private final Target target = new Target(
            new ReplicaRecord(
                    "id",
                    BORN_MILLIS,
                    "s",
                    "v1",
                    new HostPort("10.0.0.1", 80),
                    "z",
                    10,
                    false,
                    OptionalLong.empty(),
                    List.of()),
            new ClientPool(null, new InetSocketAddress("127.0.0.1", 1), 10));

    @Test
    void loadUpdateKeepsTheHeldModels() {
        target.update(fullUpdate(3), 0);
        target.update(loadUpdate(8), 100);
        assertTrue(target.holds("m", 100));
        assertTrue(target.holdsAdapter("m", "a1", 100));
        assertEquals(8, target.expectedLoad(100));
    }

    // Guards against a stream that is resumed at another software version: its engine restarted under the same id, and
    // its row still tells the version of before.
    @Test
    void softwareVersionIsUnknownOnceTheReplicaHasRestarted() {
        target.update(fullUpdate(3), 0);
        assertEquals(Optional.of("v1"), target.softwareVersion());
        target.update(fullUpdate(4).setBornMillis(BORN_MILLIS + 1), 10);
        assertEquals(Optional.empty(), target.softwareVersion());
    }

    // Guards against an engine that runs a stream for nobody: it becomes unresponsive just before the stream is sent,
    // and the caller leaves before that is certain.
    @Test
    void engineNotHeardSinceARequestWasSentMayBeUnresponsive() {
        target.update(fullUpdate(3), 17_300);
        assertTrue(target.mayBeUnresponsive(17_412, 17_600));
        target.answerReceived(17_500);
        assertFalse(target.mayBeUnresponsive(17_412, 17_600));
    }

    // Guards against an engine that runs a stream for nobody: it becomes unresponsive while a stream that was sent long
    // before waits in it.
    @Test
    void engineNotHeardForTwoUpdatesMayBeUnresponsive() {
        target.update(fullUpdate(3), 17_300);
        assertFalse(target.mayBeUnresponsive(16_000, 17_600));
        assertTrue(target.mayBeUnresponsive(16_000, 17_800));
    }

    // Guards against doubting an engine that was never heard, of which silence says nothing.
    @Test
    void engineNeverHeardIsNotTakenForUnresponsive() {
        assertFalse(target.mayBeUnresponsive(16_000, 17_800));
    }

    // Guards against counting each request once per entry: an engine that many entries use, and of which each hears a
    // second apart, would count as full after the first.
    @Test
    void oneRequestDoesNotFillAnEngineSharedByManyEntries() {
        long nowMillis = EventLoop.nowMillis();
        target.update(fullUpdate(3).setEntries(30), nowMillis);
        target.requestSent(Optional.of("m"), Optional.empty(), 100, nowMillis);
        assertTrue(target.hasRoomFor(24, 100, nowMillis + 200));
    }

    // Guards against overfilling an engine to which each of five entries sends five requests a second between two
    // updates.
    @Test
    void requestsOfOtherEntriesSinceTheUpdateAreCounted() {
        long nowMillis = EventLoop.nowMillis();
        target.update(fullUpdate(16).setEntries(5), nowMillis);
        IntStream.range(0, 5).forEach(number -> target.requestSent(Optional.of("m"), Optional.empty(), 100, nowMillis));
        assertTrue(target.hasRoomFor(24, 100, nowMillis + 50));
        assertFalse(target.hasRoomFor(24, 100, nowMillis + 400));
    }

    @Test
    void requestThatDoesNotFitInMemoryFindsNoRoom() {
        target.update(fullUpdate(3).setKvUsedTokens(900).setKvTotalTokens(1_000), 0);
        assertTrue(target.hasRoomFor(24, 100, 0));
        assertFalse(target.hasRoomFor(24, 101, 0));
    }

    // Guards against selecting by an outdated load: datagrams may overtake each other.
    @Test
    void overtakenUpdateIsIgnored() {
        EngineNews early = loadUpdate(9);
        target.update(fullUpdate(3), 0);
        target.update(early, 10);
        assertEquals(3, target.expectedLoad(10));
    }

    // Guards against mixing two incarnations: when the first update of one is lost, its load must not be combined with
    // the models of the earlier one.
    @Test
    void loadUpdateOfAnUnknownIncarnationIsIgnored() {
        target.update(loadUpdate(8), 0);
        assertFalse(target.holds("m", 0));
        target.update(fullUpdate(3), 0);
        target.update(loadUpdate(8).setBornMillis(BORN_MILLIS + 1), 10);
        assertEquals(3, target.expectedLoad(10));
    }

    // Guards against dropping updates within a round, which takes longer with many receivers: engines would be taken to
    // be idle and to hold what the platform's list says, which is seconds old.
    @Test
    void updateStaysValidForTwoRounds() {
        target.receiverCount(300);
        target.update(fullUpdate(3), 0);
        long roundMillis = UpdateInterval.periodMillis(300);
        assertTrue(target.holds("m", 2 * roundMillis));
        assertFalse(target.holds("m", 3 * roundMillis));
    }

    // Guards against a row or an update that is older than the announcement and calls the replica ready.
    @Test
    void announcedDepartureOutlastsRowsAndUpdates() {
        target.update(fullUpdate(3), 0);
        target.announcedLeaving();
        target.record(target.record());
        target.update(fullUpdate(3).setDraining(false), 10);
        assertFalse(target.acceptsRequests());
    }

    // Guards against a later, shorter refusal that would end an earlier one.
    @Test
    void longestRefusalHolds() {
        target.announcedRefusal(1_000, 0);
        target.announcedRefusal(100, 10);
        assertEquals(500, target.sendDelayMillis(500));
        assertEquals(0, target.sendDelayMillis(1_000));
        assertTrue(target.acceptsRequests());
    }

    private EngineNews fullUpdate(int running) {
        return loadUpdate(running)
                .setNearModels(List.of())
                .setModels(new ArrayList<>(List.of(new HeldModel("m", new ArrayList<>(List.of("a1"))))));
    }

    private EngineNews loadUpdate(int running) {
        return new EngineNews()
                .setEngineAddress("10.0.0.1:80")
                .setBornMillis(BORN_MILLIS)
                .setNumber(numbers.next())
                .setRunning(running);
    }
}
