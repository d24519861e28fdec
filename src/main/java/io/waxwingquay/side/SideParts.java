package io.waxwingquay.side;

import io.waxwingquay.common.DrainGate;
import io.waxwingquay.ledger.MemoryLedger.Snapshot;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The components of one side process.
 *
 * @param context the shared dependencies.
 * @param attempts the registry of attempts.
 * @param gate the gate that is closed once this side leaves.
 * @param loadMeter the measured load.
 * @param recordPublisher publishes the record of this side.
 * @param admission the admission control.
 * @param housekeeping the periodic work.
 * @param residencyLoop the order loop; empty for a plain service.
 * @param memory supplies a snapshot of the memory ledger; empty for a plain service.
 */
record SideParts(
        SideContext context,
        AttemptRegistry attempts,
        DrainGate gate,
        LoadMeter loadMeter,
        SideRecordPublisher recordPublisher,
        Admission admission,
        Housekeeping housekeeping,
        Optional<ResidencyLoop> residencyLoop,
        Supplier<Optional<Snapshot>> memory) {}
