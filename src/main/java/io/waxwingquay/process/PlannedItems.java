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
 * Determines the wanted items of one side from a placement plan. The plan is recomputed at most once per interval, as
 * the order loop asks far more often than the membership view changes, and the processor time of a plan grows with the
 * service. The interval grows with the number of sides: a plan over 2,400 sides takes 0.2 s, so one a second would take
 * 20% of a core.
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

    /** Returns this side's share of the last plan. */
    synchronized Plan.Share share() {
        return plan.shareOf(sideId);
    }

    /** Returns the models for which the last plan found no room on any side. */
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
     * Times that determine when plans are computed.
     *
     * @param minPlanIntervalMillis the shortest time between two plans of the same bundle.
     * @param maxSettleMillis the longest wait for the other sides to become known before the first plan.
     */
    record Timing(long minPlanIntervalMillis, long maxSettleMillis) {}
}
