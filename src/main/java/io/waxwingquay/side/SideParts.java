package io.waxwingquay.side;

import io.waxwingquay.common.DrainGate;
import io.waxwingquay.ledger.MemoryLedger.Snapshot;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The parts of one side process, put together.
 *
 * @param context what all work with.
 * @param attempts the attempts.
 * @param gate closed once this side leaves.
 * @param loadMeter measured load.
 * @param recordPublisher the published record.
 * @param admission the way in.
 * @param housekeeping the recurring work.
 * @param residencyLoop the order loop, for a model engine.
 * @param memory the ledger, for a model engine.
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
