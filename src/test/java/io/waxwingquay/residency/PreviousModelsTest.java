package io.waxwingquay.residency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.fleet.ReplicaRecord;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class PreviousModelsTest {

    private static final HostPort OWN = new HostPort("10.0.0.1", 80);
    private static final HostPort OTHER = new HostPort("10.0.0.2", 80);

    // Power fails everywhere. The engine is back empty under a new id, and its earlier row is still listed. Callers
    // find
    // the busy model soonest if it comes first, and what is busy shows in how many copies it had.
    @Test
    void modelWithMostCopiesComesFirst() {
        List<ReplicaRecord> records =
                List.of(record("old", OWN, "a", "busy"), record("new", OWN), record("other", OTHER, "busy", "b"));
        assertEquals(
                List.of("busy", "a"), PreviousModels.fromListing(records, OWN).models());
    }

    @Test
    void engineThatIsNotListedHeldNothing() {
        assertTrue(PreviousModels.fromListing(List.of(record("other", OTHER, "busy")), OWN)
                .models()
                .isEmpty());
    }

    private static ReplicaRecord record(String id, HostPort address, String... models) {
        return new ReplicaRecord(
                id,
                1,
                "s",
                address,
                "a",
                10,
                false,
                OptionalLong.empty(),
                Stream.of(models)
                        .map(name -> new ReplicaRecord.ResidentModel(name, List.of()))
                        .toList());
    }
}
