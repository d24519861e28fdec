package io.waxwingquay.process;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.common.Clock;
import io.waxwingquay.membership.Membership;
import io.waxwingquay.membership.Side;
import io.waxwingquay.placement.PlacementInput;
import io.waxwingquay.placement.PlacementStrategy;
import io.waxwingquay.placement.Plan;
import io.waxwingquay.side.WantedItems;
import java.util.List;
import java.util.Set;

/**
 * Placement for one side. The plan is made again at most once an interval, as the order loop asks far more often than
 * the view of the others changes, and each plan costs processor time that grows with the service. So the interval grows
 * with the sides: a plan over 2,400 sides was measured at 0.2 s, of which one a second is 20% of a core.
 */
final class PlannedItems implements WantedItems {

    private static final long MILLIS_A_SIDE = 10L;

    private final String sideId;
    private final String service;
    private final Membership membership;
    private final PlacementStrategy strategy;
    private final Clock clock;
    private final Pace pace;
    private final long startMillis;
    private boolean settled;
    private Plan plan = Plan.EMPTY;
    private long plannedVersion;
    private long plannedMillis;

    PlannedItems(
            String sideId, String service, Membership membership, PlacementStrategy strategy, Clock clock, Pace pace) {
        this.sideId = sideId;
        this.service = service;
        this.membership = membership;
        this.strategy = strategy;
        this.clock = clock;
        this.pace = pace;
        this.startMillis = clock.monotonicMillis();
    }

    /** This side's share of the plan as it was last made. */
    synchronized Plan.Share share() {
        return plan.shareOf(sideId);
    }

    /** Models for which the plan found no room on any side. */
    synchronized List<String> homelessModels() {
        return plan.unplacedModels();
    }

    /** {@inheritDoc} */
    @Override
    public synchronized Wanted wanted(Bundle bundle) {
        long nowMillis = clock.monotonicMillis();
        settled = settled || isSettled(bundle, nowMillis);
        if (!settled) {
            return new Wanted(List.of(), residentHere());
        }
        if (bundle.version() != plannedVersion || nowMillis - plannedMillis >= waitMillis()) {
            plan = strategy.plan(PlacementInput.of(bundle, service, membership.sides(), plan, nowMillis));
            plannedVersion = bundle.version();
            plannedMillis = nowMillis;
        }
        Plan.Share share = plan.shareOf(sideId);
        return new Wanted(share.wantedItems(), share.protectedItems());
    }

    private long waitMillis() {
        return Math.max(pace.planMillis(), membership.sides().size() * MILLIS_A_SIDE);
    }

    private boolean isSettled(Bundle bundle, long nowMillis) {
        long known = membership.sides().stream()
                .filter(side -> side.service().equals(service))
                .count();
        int replicas = bundle.service(service).map(Bundle.Service::replicas).orElse(0);
        return known >= replicas || nowMillis - startMillis >= pace.settleMillis();
    }

    private Set<String> residentHere() {
        return membership.side(sideId).map(Side::residentItems).orElse(Set.of());
    }

    /**
     * When plans are made.
     *
     * @param planMillis the least time between two plans.
     * @param settleMillis the longest wait for the other sides before the first plan.
     */
    record Pace(long planMillis, long settleMillis) {}
}
