package io.waxwingquay.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class DatagramPacerTest {

    private static final double SEVEN_MEGABITS = 7_000_000 / 8.0;
    private static final int DATAGRAM_BYTES = 3_000;

    private final TreeMap<Long, Runnable> tasks = new TreeMap<>();
    private final List<Sent> sent = new ArrayList<>();
    private long nowMillis;

    // Guards against rounds of updates that fill the queue of a narrow link: 36 updates of 3,000 bytes take 123 ms of a
    // link
    // of 7 Mbit/s.
    @Test
    void roundOnANarrowLinkUsesATenthOfIt() {
        DatagramPacer pacer = pacer(SEVEN_MEGABITS);
        round(pacer);
        runUntil(2_000);
        assertEquals(36, sent.size());
        for (long start = 0; start < 2_000; start += 50) {
            long from = start;
            long bytes = DATAGRAM_BYTES
                    * sent.stream()
                            .filter(each -> each.atMillis >= from && each.atMillis < from + 50)
                            .count();
            assertTrue(
                    bytes <= 50 * SEVEN_MEGABITS / 10_000 + 20 * SEVEN_MEGABITS / 10_000 + DATAGRAM_BYTES,
                    "at " + from);
        }
    }

    // Guards against updates that are delayed where the link is wide, as before.
    @Test
    void roundOnAWideLinkIsSentAtOnce() {
        DatagramPacer pacer = pacer(1_000_000_000 / 8.0);
        round(pacer);
        assertEquals(36, sent.size());
        assertTrue(tasks.isEmpty());
    }

    // Guards against a queue that grows while rounds are due faster than the link can take them.
    @Test
    void newerDatagramReplacesAWaitingOneAndNobodyIsLeftOut() {
        DatagramPacer pacer = pacer(SEVEN_MEGABITS / 10);
        for (int rounds = 0; rounds < 200; rounds++) {
            round(pacer);
            runUntil(nowMillis + 100);
        }
        Set<HostPort> reached = sent.stream().map(Sent::destination).collect(Collectors.toSet());
        assertEquals(36, reached.size());
        assertTrue(sent.size() <= 20_000 * SEVEN_MEGABITS / 100_000 / DATAGRAM_BYTES + 2, "sent " + sent.size());
    }

    private DatagramPacer pacer(double linkBytesPerSecond) {
        return new DatagramPacer(
                linkBytesPerSecond,
                (delay, task) -> tasks.put(nowMillis + delay, task),
                () -> nowMillis,
                (destination, bytes) -> sent.add(new Sent(destination, nowMillis)));
    }

    private void round(DatagramPacer pacer) {
        for (int engine = 0; engine < 36; engine++) {
            pacer.send(new HostPort("10.0.0." + engine, 7_380), new byte[DATAGRAM_BYTES]);
        }
    }

    private void runUntil(long endMillis) {
        while (!tasks.isEmpty() && tasks.firstKey() <= endMillis) {
            nowMillis = Math.max(nowMillis, tasks.firstKey());
            tasks.pollFirstEntry().getValue().run();
        }
        nowMillis = endMillis;
    }

    private record Sent(HostPort destination, long atMillis) {}
}
