package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.peer.UpdateInterval;
import io.waxwingquay.residency.UpdateSchedule.EngineStatus;
import io.waxwingquay.residency.UpdateSchedule.Update;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class UpdateScheduleTest {

    private static final int RECEIVERS = 70;
    private static final int ACTIVE_ENTRIES = 10;
    private static final long POLL_MILLIS = 100;
    private static final EngineStatus UNCHANGED =
            new EngineStatus(Set.of("m"), Set.of("m", "n"), Optional.empty(), 1, false, false, 3, Set.of("m/a1"), 4);

    private final UpdateSchedule schedule = new UpdateSchedule();

    @Test
    void changeIsSentAtOnceAndResentOnce() {
        assertEquals(Update.FULL_TO_ALL, nextUpdate(UNCHANGED, 0));
        assertEquals(Update.NONE, nextUpdate(UNCHANGED, 100));
        assertEquals(Update.FULL_TO_ALL, nextUpdate(UNCHANGED, UpdateSchedule.RESEND_MILLIS));
        assertEquals(Update.NONE, nextUpdate(UNCHANGED, 400));
        assertEquals(Update.FULL_TO_ALL, nextUpdate(withLoadingModel("n"), 500));
        assertEquals(Update.FULL_TO_ALL, nextUpdate(UNCHANGED, 510));
    }

    @Test
    void unchangedStatusIsResentPeriodically() {
        nextUpdate(UNCHANGED, 0);
        nextUpdate(UNCHANGED, 200);
        long periodMillis = UpdateInterval.periodMillis(RECEIVERS);
        assertEquals(Update.NONE, nextUpdate(UNCHANGED, 200 + periodMillis - 1));
        assertEquals(Update.FULL_TO_ALL, nextUpdate(UNCHANGED, 200 + periodMillis));
        assertEquals(Update.NONE, nextUpdate(UNCHANGED, 200 + periodMillis + 250));
    }

    @Test
    void loadIsSentToActiveEntries() {
        nextUpdate(UNCHANGED, 0);
        nextUpdate(UNCHANGED, 200);
        assertEquals(Update.NONE, nextUpdate(withRequests(5), 300));
        assertEquals(Update.LOAD_TO_ACTIVE_ENTRIES, nextUpdate(withRequests(5), 450));
        assertEquals(Update.NONE, nextUpdate(withRequests(5), 800));
        assertEquals(Update.FULL_TO_ACTIVE_ENTRIES, nextUpdate(withAdapter("m/a2"), 900));
        assertEquals(Update.NONE, schedule.nextUpdate(withRequests(9), RECEIVERS, 0, 1_300));
    }

    // Guards against entries that keep sending by their own estimates, or keep asking for slots, until the next
    // periodic
    // update.
    @Test
    void changeOfGrantingIsSentToAllAtOnce() {
        nextUpdate(UNCHANGED, 0);
        nextUpdate(UNCHANGED, 200);
        EngineStatus granting =
                new EngineStatus(Set.of("m"), Set.of("m", "n"), Optional.empty(), 1, false, true, 3, Set.of("m/a1"), 4);
        assertEquals(Update.FULL_TO_ALL, nextUpdate(granting, 300));
        assertEquals(Update.NONE, nextUpdate(granting, 400));
    }

    // The start of a load makes others wait for the limit and must be known immediately; a load that leaves the window
    // only frees capacity.
    @Test
    void storeLoadIsSentAtOnceAndItsExpiryLater() {
        nextUpdate(UNCHANGED, 0);
        nextUpdate(UNCHANGED, 200);
        assertEquals(Update.FULL_TO_ALL, nextUpdate(withStoreLoads(2), 300));
        nextUpdate(withStoreLoads(2), 500);
        assertEquals(Update.NONE, nextUpdate(withStoreLoads(1), 510));
    }

    // Guards against a send rate that grows with the deployment: when each side sent to every entry and every other
    // side five times a second, 31 entries and 39 engines exchanged 13,000 datagrams a second, and eight times the size
    // more than squared that growth. What one process sends must not depend on the number of receivers while only the
    // load changes.
    @Test
    void sendRateDoesNotGrowWithReceivers() {
        IntStream.of(20, 70, 300, 2_720).forEach(receivers -> {
            double perSecond = datagramsPerSecond(receivers);
            assertTrue(perSecond <= 70, receivers + " receivers: " + perSecond);
        });
    }

    private static double datagramsPerSecond(int receivers) {
        UpdateSchedule schedule = new UpdateSchedule();
        long seconds = 1_000;
        long sent = 0;
        for (long millis = 0; millis < seconds * 1_000; millis += POLL_MILLIS) {
            Update update = schedule.nextUpdate(
                    withRequests((int) (millis / POLL_MILLIS % 7)), receivers, ACTIVE_ENTRIES, millis);
            sent += switch (update) {
                case FULL_TO_ALL -> receivers;
                case FULL_TO_ACTIVE_ENTRIES, LOAD_TO_ACTIVE_ENTRIES -> ACTIVE_ENTRIES;
                case NONE -> 0;
            };
        }
        return (double) sent / seconds;
    }

    private Update nextUpdate(EngineStatus matter, long nowMillis) {
        return schedule.nextUpdate(matter, RECEIVERS, ACTIVE_ENTRIES, nowMillis);
    }

    private static EngineStatus withLoadingModel(String model) {
        return new EngineStatus(
                Set.of("m"), Set.of("m", "n"), Optional.of(model), 1, false, false, 3, Set.of("m/a1"), 4);
    }

    private static EngineStatus withRequests(int requests) {
        return new EngineStatus(
                Set.of("m"), Set.of("m", "n"), Optional.empty(), 1, false, false, 3, Set.of("m/a1"), requests);
    }

    private static EngineStatus withAdapter(String adapter) {
        return new EngineStatus(
                Set.of("m"), Set.of("m", "n"), Optional.empty(), 1, false, false, 3, Set.of(adapter), 5);
    }

    private static EngineStatus withStoreLoads(int storeLoads) {
        return new EngineStatus(
                Set.of("m"), Set.of("m", "n"), Optional.empty(), storeLoads, false, false, 3, Set.of("m/a1"), 4);
    }
}
