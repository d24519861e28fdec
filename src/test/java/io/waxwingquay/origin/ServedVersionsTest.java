package io.waxwingquay.origin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class ServedVersionsTest {

    private final List<String> mixed = new ArrayList<>();
    private final ServedVersions served = new ServedVersions(() -> this.nowMillis, mixed::add);
    private long nowMillis;

    @Test
    void serviceWithOneVersionIsNotMixed() {
        list("a", 1, "v1");
        list("b", 1, "v1");
        assertFalse(served.isMixed("s"));
        assertEquals(Optional.of("v1"), served.sole("s"));
        assertEquals(Optional.empty(), served.sole("t"));
        assertTrue(mixed.isEmpty());
    }

    // Guards against a stream of a version whose last replica has just left, that is taken for one of the version that
    // remains.
    @Test
    void versionCountsForAsLongAsItsStreamsMayBeResumed() {
        list("a", 1, "v1");
        list("b", 1, "v1.1");
        assertEquals(List.of("s"), mixed);
        served.onRemoved(record("a", 1, "v1"));
        nowMillis = OriginTable.RETENTION_MILLIS;
        assertTrue(served.isMixed("s"));
        nowMillis++;
        assertEquals(Optional.of("v1.1"), served.sole("s"));
    }

    // Guards against a replica that restarts under its id at another version and still counts for the one of before.
    @Test
    void replicaThatRestartsAtAnotherVersionLeavesTheOneOfBefore() {
        list("a", 1, "v1");
        served.onListed(record("a", 2, "v1.1"), Optional.of(record("a", 1, "v1")));
        assertTrue(served.isMixed("s"));
        nowMillis = OriginTable.RETENTION_MILLIS + 1;
        assertEquals(Optional.of("v1.1"), served.sole("s"));
    }

    // Guards against streams in progress that are not reported when a version returns after a long time.
    @Test
    void versionThatReturnsMakesTheServiceMixedAgain() {
        list("a", 1, "v1");
        list("b", 1, "v1.1");
        served.onRemoved(record("b", 1, "v1.1"));
        nowMillis = OriginTable.RETENTION_MILLIS + 1;
        list("c", 2, "v1.1");
        assertEquals(List.of("s", "s"), mixed);
    }

    @Test
    void unknownVersionIsNoSoleOne() {
        list("a", 1, "");
        assertEquals(Optional.empty(), served.sole("s"));
    }

    private void list(String id, long bornMillis, String version) {
        served.onListed(record(id, bornMillis, version), Optional.empty());
    }

    private static ReplicaRecord record(String id, long bornMillis, String version) {
        return new ReplicaRecord(
                id,
                bornMillis,
                "s",
                version,
                new HostPort("10.0.0.1", 80),
                "z",
                4,
                false,
                OptionalLong.empty(),
                List.of());
    }
}
