package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.peer.NewsPace;
import io.waxwingquay.residency.NewsRounds.Matter;
import io.waxwingquay.residency.NewsRounds.Round;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class NewsRoundsTest {

    private static final int RECEIVERS = 70;
    private static final int USERS = 10;
    private static final long LOOK_MILLIS = 100;
    private static final Matter QUIET =
            new Matter(Set.of("m"), Set.of("m", "n"), Optional.empty(), 1, false, 3, Set.of("m/a1"), 4);

    private final NewsRounds rounds = new NewsRounds();

    @Test
    void changeIsToldAtOnceAndOnceMore() {
        assertEquals(Round.WHOLE_TO_ALL, next(QUIET, 0));
        assertEquals(Round.NOTHING, next(QUIET, 100));
        assertEquals(Round.WHOLE_TO_ALL, next(QUIET, NewsRounds.REPEAT_MILLIS));
        assertEquals(Round.NOTHING, next(QUIET, 400));
        assertEquals(Round.WHOLE_TO_ALL, next(coming("n"), 500));
        assertEquals(Round.WHOLE_TO_ALL, next(QUIET, 510));
    }

    @Test
    void whatStaysIsSaidAgainInRounds() {
        next(QUIET, 0);
        next(QUIET, 200);
        long period = NewsPace.periodMillis(RECEIVERS);
        assertEquals(Round.NOTHING, next(QUIET, 200 + period - 1));
        assertEquals(Round.WHOLE_TO_ALL, next(QUIET, 200 + period));
        assertEquals(Round.NOTHING, next(QUIET, 200 + period + 250));
    }

    @Test
    void loadIsToldToThoseWhoUseTheEngine() {
        next(QUIET, 0);
        next(QUIET, 200);
        assertEquals(Round.NOTHING, next(load(5), 300));
        assertEquals(Round.LOAD_TO_USERS, next(load(5), 450));
        assertEquals(Round.NOTHING, next(load(5), 800));
        assertEquals(Round.WHOLE_TO_USERS, next(adapters("m/a2"), 900));
        assertEquals(Round.NOTHING, rounds.next(load(9), RECEIVERS, 0, 1_300));
    }

    // A start of a load makes others wait for the ceiling and must be known at once; that one has lapsed frees room
    // only.
    @Test
    void loadFromTheStoreIsToldAtOnceAndItsLapseLater() {
        next(QUIET, 0);
        next(QUIET, 200);
        assertEquals(Round.WHOLE_TO_ALL, next(storeLoads(2), 300));
        next(storeLoads(2), 500);
        assertEquals(Round.NOTHING, next(storeLoads(1), 510));
    }

    // Each process beside an engine told every entry and every other one five times a second: 13,000 datagrams a second
    // with 31 entries and 39 engines, and more than the square of that growth at eight times the size. What one process
    // sends must stay the same however many there are, while nothing but the load changes.
    @Test
    void whatIsSentDoesNotGrowWithTheFleet() {
        IntStream.of(20, 70, 300, 2_720).forEach(receivers -> {
            double perSecond = datagramsPerSecond(receivers);
            assertTrue(perSecond <= 70, receivers + " receivers: " + perSecond);
        });
    }

    private static double datagramsPerSecond(int receivers) {
        NewsRounds rounds = new NewsRounds();
        long seconds = 1_000;
        long sent = 0;
        for (long millis = 0; millis < seconds * 1_000; millis += LOOK_MILLIS) {
            Round round = rounds.next(load((int) (millis / LOOK_MILLIS % 7)), receivers, USERS, millis);
            sent += switch (round) {
                case WHOLE_TO_ALL -> receivers;
                case WHOLE_TO_USERS, LOAD_TO_USERS -> USERS;
                case NOTHING -> 0;
            };
        }
        return (double) sent / seconds;
    }

    private Round next(Matter matter, long nowMillis) {
        return rounds.next(matter, RECEIVERS, USERS, nowMillis);
    }

    private static Matter coming(String model) {
        return new Matter(Set.of("m"), Set.of("m", "n"), Optional.of(model), 1, false, 3, Set.of("m/a1"), 4);
    }

    private static Matter load(int load) {
        return new Matter(Set.of("m"), Set.of("m", "n"), Optional.empty(), 1, false, 3, Set.of("m/a1"), load);
    }

    private static Matter adapters(String adapter) {
        return new Matter(Set.of("m"), Set.of("m", "n"), Optional.empty(), 1, false, 3, Set.of(adapter), 5);
    }

    private static Matter storeLoads(int storeLoads) {
        return new Matter(Set.of("m"), Set.of("m", "n"), Optional.empty(), storeLoads, false, 3, Set.of("m/a1"), 4);
    }
}
