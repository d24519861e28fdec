package io.waxwingquay.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.placement.RendezvousHash;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class KeepersTest {

    private final Set<HostPort> processes =
            IntStream.range(0, 50).mapToObj(KeepersTest::process).collect(Collectors.toSet());

    @Test
    void ranksOfAStreamDoNotDependOnTheOrderOfTheProcesses() {
        Set<HostPort> others = new HashSet<>(processes);
        others.add(process(99));
        others.remove(process(99));
        assertEquals(Keepers.of(processes).rankedFor(7, 4), Keepers.of(others).rankedFor(7, 4));
    }

    // Guards against an origin that is asked for where it was not reported, because one process joined or left.
    @Test
    void lossOfAProcessMovesTheOthersUp() {
        List<HostPort> before = Keepers.of(processes).rankedFor(7, 4);
        processes.remove(before.get(0));
        assertEquals(before.subList(1, 4), Keepers.of(processes).rankedFor(7, 3));
    }

    @Test
    void streamsAreSpreadOverAllProcesses() {
        Keepers keepers = Keepers.of(processes);
        Set<HostPort> first = IntStream.range(0, 1_000)
                .mapToObj(number -> keepers.rankedFor(RendezvousHash.hash("stream-" + number), 1)
                        .get(0))
                .collect(Collectors.toSet());
        assertEquals(processes, first);
    }

    @Test
    void ranksAllProcessesIfThereAreFew() {
        Keepers two = Keepers.of(Set.of(process(1), process(2)));
        assertEquals(2, two.rankedFor(7, 4).size());
        assertTrue(Keepers.of(Set.of()).rankedFor(7, 4).isEmpty());
    }

    private static HostPort process(int number) {
        return new HostPort("10.0.0." + number, 1);
    }
}
