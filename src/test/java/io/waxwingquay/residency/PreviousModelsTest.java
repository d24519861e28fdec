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

    // After a power failure everywhere the engine restarts empty under a new id, and its previous row is still listed.
    // The busy model is needed first, and its number of copies shows that it was busy.
    @Test
    void modelWithMostCopiesComesFirst() {
        List<ReplicaRecord> records =
                List.of(record("old", OWN, "a", "busy"), record("new", OWN), record("other", OTHER, "busy", "b"));
        assertEquals(
                List.of("busy", "a"), PreviousModels.fromListing(records, OWN).models());
    }

    @Test
    void unlistedEngineHasNoPreviousModels() {
        assertTrue(PreviousModels.fromListing(List.of(record("other", OTHER, "busy")), OWN)
                .models()
                .isEmpty());
    }

    private static ReplicaRecord record(String id, HostPort address, String... models) {
        return new ReplicaRecord(
                id,
                1,
                "s",
                "v1",
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
