package io.waxwingquay.process;

import io.waxwingquay.ledger.MemoryLedger;
import io.waxwingquay.permit.Permits;
import io.waxwingquay.placement.Plan;
import io.waxwingquay.side.RequestState;
import io.waxwingquay.side.SideIdentity;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What the state dump shows of a side.
 *
 * @param identity who it is.
 * @param state its lifecycle.
 * @param attempts remembered attempts by state.
 * @param memory the memory ledger, empty for a plain service.
 * @param orderLoop the order loop.
 * @param permits shared limits.
 * @param placement this side's share of the plan.
 */
record SideDump(
        SideIdentity identity,
        String state,
        Map<RequestState, Long> attempts,
        Optional<MemoryLedger.Snapshot> memory,
        OrderLoop orderLoop,
        Map<Permits.Limit, PermitCount> permits,
        Placement placement) {

    /**
     * The order loop.
     *
     * @param reportAgeMillis how long ago the engine's residency was read.
     * @param refusedItems wanted items for which there is no room.
     */
    record OrderLoop(Optional<Long> reportAgeMillis, List<String> refusedItems) {}

    /**
     * Permits of one limit.
     *
     * @param lent lent out by this side as a home.
     * @param held held by this side.
     */
    record PermitCount(int lent, int held) {}

    /**
     * The plan.
     *
     * @param share what this side is to hold.
     * @param homelessModels models for which no side has room.
     */
    record Placement(Plan.Share share, List<String> homelessModels) {}
}
