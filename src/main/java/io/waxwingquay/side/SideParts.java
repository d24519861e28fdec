package io.waxwingquay.side;

import io.waxwingquay.common.DrainGate;
import io.waxwingquay.ledger.MemoryLedger.Snapshot;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The parts of one side process, put together.
 *
 * @param context what all work with.
 * @param book the attempts.
 * @param gate closed once this side leaves.
 * @param meter measured load.
 * @param self the published record.
 * @param admission the way in.
 * @param housekeeping the recurring work.
 * @param residency the order loop, for a model engine.
 * @param memory the ledger, for a model engine.
 */
record SideParts(
        SideContext context,
        AttemptBook book,
        DrainGate gate,
        LoadMeter meter,
        SelfRecord self,
        Admission admission,
        Housekeeping housekeeping,
        Optional<ResidencyLoop> residency,
        Supplier<Optional<Snapshot>> memory) {}
