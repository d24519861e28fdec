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

    private static final long PLAN_INTERVAL_MILLIS_PER_SIDE = 10L;

    private final String sideId;
    private final String service;
    private final Membership membership;
    private final PlacementStrategy strategy;
    private final Clock clock;
    private final Timing timing;
    private final long startMillis;
    private boolean membershipSettled;
    private Plan plan = Plan.EMPTY;
    private long plannedBundleVersion;
    private long lastPlanMillis;

    PlannedItems(
            String sideId,
            String service,
            Membership membership,
            PlacementStrategy strategy,
            Clock clock,
            Timing timing) {
        this.sideId = sideId;
        this.service = service;
        this.membership = membership;
        this.strategy = strategy;
        this.clock = clock;
        this.timing = timing;
        this.startMillis = clock.monotonicMillis();
    }

    /** This side's share of the plan as it was last made. */
    synchronized Plan.Share share() {
        return plan.shareOf(sideId);
    }

    /** Models for which the plan found no room on any side. */
    synchronized List<String> unplacedModels() {
        return plan.unplacedModels();
    }

    /** {@inheritDoc} */
    @Override
    public synchronized Wanted wanted(Bundle bundle) {
        long nowMillis = clock.monotonicMillis();
        membershipSettled = membershipSettled || isMembershipSettled(bundle, nowMillis);
        if (!membershipSettled) {
            return new Wanted(List.of(), residentItems());
        }
        if (bundle.version() != plannedBundleVersion || nowMillis - lastPlanMillis >= planIntervalMillis()) {
            plan = strategy.plan(PlacementInput.of(bundle, service, membership.sides(), plan, nowMillis));
            plannedBundleVersion = bundle.version();
            lastPlanMillis = nowMillis;
        }
        Plan.Share share = plan.shareOf(sideId);
        return new Wanted(share.wantedItems(), share.protectedItems());
    }

    private long planIntervalMillis() {
        return Math.max(timing.minPlanIntervalMillis(), membership.sides().size() * PLAN_INTERVAL_MILLIS_PER_SIDE);
    }

    private boolean isMembershipSettled(Bundle bundle, long nowMillis) {
        long knownSides = membership.sides().stream()
                .filter(side -> side.service().equals(service))
                .count();
        int replicas = bundle.service(service).map(Bundle.Service::replicas).orElse(0);
        return knownSides >= replicas || nowMillis - startMillis >= timing.maxSettleMillis();
    }

    private Set<String> residentItems() {
        return membership.side(sideId).map(Side::residentItems).orElse(Set.of());
    }

    /**
     * When plans are made.
     *
     * @param minPlanIntervalMillis the least time between two plans.
     * @param maxSettleMillis the longest wait for the other sides before the first plan.
     */
    record Timing(long minPlanIntervalMillis, long maxSettleMillis) {}
}
