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
 * The section of a side in the state dump.
 *
 * @param identity the identity of the side.
 * @param state the state of its lifecycle.
 * @param attempts the number of retained attempts in each state.
 * @param memory the memory ledger; empty for a plain service.
 * @param orderLoop the state of the order loop.
 * @param permits the permits of each shared limit.
 * @param placement the placement plan as far as it concerns this side.
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
     * The state of the order loop.
     *
     * @param reportAgeMillis the age of the last residency report read from the engine; empty before the first.
     * @param refusedItems wanted items for which there is no room.
     */
    record OrderLoop(Optional<Long> reportAgeMillis, List<String> refusedItems) {}

    /**
     * The permits of one shared limit.
     *
     * @param lent the number of permits that this side lends now.
     * @param held the number of permits that this side holds now.
     */
    record PermitCount(int lent, int held) {}

    /**
     * The placement plan as far as it concerns this side.
     *
     * @param share the items assigned to this side.
     * @param homelessModels models for which no side has room.
     */
    record Placement(Plan.Share share, List<String> homelessModels) {}
}
