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
                    new HostPort("10.0.0.1", 80),
                    "z",
                    10,
                    false,
                    OptionalLong.empty(),
                    List.of()),
            new ClientPool(null, new InetSocketAddress("127.0.0.1", 1), 10));

    @Test
    void newsOfTheLoadLeavesWhatIsHeld() {
        target.news(whole(3), 0);
        target.news(load(8), 100);
        assertTrue(target.holds("m", 100));
        assertTrue(target.holdsAdapter("m", "a1", 100));
        assertEquals(8, target.expectedLoad(100));
    }

    // An engine stands still just before a stream is sent to it. Its caller leaves before the engine counts as silent,
    // and the engine runs the request for nobody when it wakes.
    @Test
    void engineUnheardSinceARequestWasSentIsInDoubt() {
        target.news(whole(3), 17_300);
        assertTrue(target.isInDoubt(17_412, 17_600));
        target.heard(17_500);
        assertFalse(target.isInDoubt(17_412, 17_600));
    }

    // The same, but the engine stands still while a stream waits in it that was sent long before.
    @Test
    void engineUnheardForTwoTellingsIsInDoubt() {
        target.news(whole(3), 17_300);
        assertFalse(target.isInDoubt(16_000, 17_600));
        assertTrue(target.isInDoubt(16_000, 17_800));
    }

    // Nothing is known of an engine that was never heard, so its silence says nothing.
    @Test
    void engineNeverHeardIsNotInDoubt() {
        assertFalse(target.isInDoubt(16_000, 17_800));
    }

    // Many entries use an engine, and each hears of it a second apart. Were each request from here taken to be sent by
    // all
    // of them, the engine would count as full after the first.
    @Test
    void oneRequestDoesNotFillAnEngineThatManyEntriesUse() {
        long nowMillis = EventLoop.nowMillis();
        target.news(whole(3).setEntries(30), nowMillis);
        target.began(Optional.of("m"), Optional.empty(), 100, nowMillis);
        assertTrue(target.hasRoomFor(24, 100, nowMillis + 200));
    }

    // Each entry sends five requests a second to one engine. By the time that the next is sent others have sent as
    // many.
    @Test
    void whatOtherEntriesSendMeanwhileCounts() {
        long nowMillis = EventLoop.nowMillis();
        target.news(whole(16).setEntries(5), nowMillis);
        IntStream.range(0, 5).forEach(number -> target.began(Optional.of("m"), Optional.empty(), 100, nowMillis));
        assertTrue(target.hasRoomFor(24, 100, nowMillis + 50));
        assertFalse(target.hasRoomFor(24, 100, nowMillis + 400));
    }

    @Test
    void requestThatDoesNotFitInMemoryFindsNoRoom() {
        target.news(whole(3).setKvUsedTokens(900).setKvTotalTokens(1_000), 0);
        assertTrue(target.hasRoomFor(24, 100, 0));
        assertFalse(target.hasRoomFor(24, 101, 0));
    }

    // Datagrams overtake each other. Were the earlier one taken in after the later one, requests would go by an old
    // load.
    @Test
    void newsThatWasOvertakenIsPassedOver() {
        EngineNews early = load(9);
        target.news(whole(3), 0);
        target.news(early, 10);
        assertEquals(3, target.expectedLoad(10));
    }

    // The first news of a life is lost. Its load must not be taken for that of the earlier life, with what that held.
    @Test
    void newsOfTheLoadOfAnUnknownLifeIsPassedOver() {
        target.news(load(8), 0);
        assertFalse(target.holds("m", 0));
        target.news(whole(3), 0);
        target.news(load(8).setBornMillis(BORN_MILLIS + 1), 10);
        assertEquals(3, target.expectedLoad(10));
    }

    // With many processes to tell, a round takes longer. Were news forgotten within it, each engine would be taken to
    // hold
    // what the platform's list says, which is seconds old, and to be idle.
    @Test
    void newsCountsForSomeRounds() {
        target.tellers(300);
        target.news(whole(3), 0);
        long roundMillis = UpdateInterval.periodMillis(300);
        assertTrue(target.holds("m", 2 * roundMillis));
        assertFalse(target.holds("m", 3 * roundMillis));
    }

    private EngineNews whole(int running) {
        return load(running)
                .setNearModels(List.of())
                .setModels(new ArrayList<>(List.of(new HeldModel("m", new ArrayList<>(List.of("a1"))))));
    }

    private EngineNews load(int running) {
        return new EngineNews()
                .setEngineAddress("10.0.0.1:80")
                .setBornMillis(BORN_MILLIS)
                .setNumber(numbers.next())
                .setRunning(running);
    }
}
