package io.waxwingquay.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import io.waxwingquay.net.ClientPool;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

class SubstitutesTest {

    private final Target first = target("a", "v1");
    private final Target second = target("b", "v1");
    private final Target other = target("c", "v1.1");
    private final Target unknown = target("d", "");

    @Test
    void noneLacksOneWhileThereIsOneVersionOrNoChoice() {
        assertEquals(Set.of(), Substitutes.lackingAmong(List.of()));
        assertEquals(Set.of(), Substitutes.lackingAmong(List.of(first)));
        assertEquals(Set.of(), Substitutes.lackingAmong(List.of(first, second)));
        assertEquals(Set.of(), Substitutes.lackingAmong(List.of(first, other)));
    }

    @Test
    void soleEngineOfItsVersionLacksOne() {
        assertEquals(Set.of(other), Substitutes.lackingAmong(List.of(first, second, other)));
    }

    @Test
    void enginesOfUnknownVersionReplaceNone() {
        assertEquals(Set.of(unknown, other), Substitutes.lackingAmong(List.of(unknown, other, first, second)));
    }

    private static Target target(String id, String softwareVersion) {
        ReplicaRecord record = new ReplicaRecord(
                id,
                1,
                "s",
                softwareVersion,
                new HostPort("10.0.0.1", 80),
                "z",
                4,
                false,
                OptionalLong.empty(),
                List.of());
        return new Target(record, new ClientPool(null, new InetSocketAddress("127.0.0.1", 1), 1));
    }
}
