package io.waxwingquay.forward;

import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Chooses between the data centre of the entry and the others. Bytes between data centres are charged, so the own one is
 * chosen unless its engines cost more than the others by more than a price.
 *
 * <p>The share of requests that go elsewhere grows with the difference in cost. Failure: all entries of a data centre send
 * to another one as soon as it is cheaper by the price, by reports that are up to 775 ms old. Symptom: the load moves back
 * and forth between the two, and all bytes of one of them are charged for a while.
 */
final class ZoneChoice {

    /**
     * Price of another data centre, in waiting time: about a tenth of a typical objective (402 ms), which is the cost of
     * some three more requests of 24 in an engine.
     */
    private static final double OTHER_ZONE_PRICE_MILLIS = 35.0;

    /**
     * Difference in cost, beyond the price, at which all requests go elsewhere: that of two thirds of the slots of an
     * engine. With all load at one of two data centres it leaves about a third of the requests to the other, at 0.4 of all
     * slots in use.
     */
    private static final double FULL_SPILL_MILLIS = 200.0;

    private final EngineCost cost;
    private final RandomGenerator random;

    /**
     * Creates a choice.
     *
     * @param cost estimates the costs of engines.
     * @param random decides which requests are sent elsewhere.
     */
    ZoneChoice(EngineCost cost, RandomGenerator random) {
        this.cost = cost;
        this.random = random;
    }

    /** Returns the query limited to the engines of the chosen data centres. */
    EngineSelection.Query choose(EngineSelection.Query query) {
        List<Target> own = query.targets().stream().filter(cost::isInOwnZone).toList();
        if (own.isEmpty() || own.size() == query.targets().size()) {
            return query;
        }
        List<Target> others = query.targets().stream()
                .filter(Predicate.not(cost::isInOwnZone))
                .toList();
        double gainMillis = meanMillis(own, query) - meanMillis(others, query) - OTHER_ZONE_PRICE_MILLIS;
        boolean isElsewhere = random.nextDouble() * FULL_SPILL_MILLIS < gainMillis;
        return query.among(isElsewhere ? others : own);
    }

    private double meanMillis(List<Target> targets, EngineSelection.Query query) {
        return targets.stream()
                .mapToDouble(target -> cost.reportedMillis(target, query))
                .average()
                .orElseThrow();
    }
}
