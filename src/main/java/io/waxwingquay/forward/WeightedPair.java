package io.waxwingquay.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Draws two engines at random, weighted by their free slots, and selects the cheaper one.
 *
 * <p>Failure: all entries choose by the same reports, which are up to 775 ms old. Symptom: all send to the engine that
 * appears least loaded, and requests arrive there in bursts. Two drawn at random spread the requests nearly as if each
 * were sent anywhere, and still avoid the most loaded engines.
 */
final class WeightedPair implements EngineSelection {

    /**
     * Random part of the difference between the costs of two engines: as much as a full engine costs more than an idle
     * one. If the smallest difference decided, entries would overshoot, as many of the requests that a report counts end
     * while it ages. In a simulation of requests of 1 s and engines used at 0.8 of their slots, the variance over mean of
     * the arrivals in 100 ms was 1.4 with it, and 2.1 with 100 ms.
     */
    private static final double REPORT_NOISE_MILLIS = 300.0;

    private final EngineCost cost;
    private final RandomGenerator random;
    private final ZoneChoice zones;

    /**
     * Creates a strategy.
     *
     * @param cost estimates the costs of engines.
     * @param random the source of the draws.
     */
    WeightedPair(EngineCost cost, RandomGenerator random) {
        this.cost = cost;
        this.random = random;
        this.zones = new ZoneChoice(cost, random);
    }

    /** {@inheritDoc} */
    @Override
    public Target select(Query query) {
        return draw(zones.choose(query)).target();
    }

    /** Draws from the engines of a query, disregarding their data centres. */
    Costed draw(Query query) {
        List<Target> remaining = new ArrayList<>(query.targets());
        Costed first = drawOne(remaining, query);
        if (remaining.isEmpty()) {
            return first;
        }
        Costed second = drawOne(remaining, query);
        return isCheaper(second, first) ? second : first;
    }

    private boolean isCheaper(Costed one, Costed other) {
        double noiseMillis = REPORT_NOISE_MILLIS * (random.nextDouble() - random.nextDouble());
        return one.costMillis() + noiseMillis < other.costMillis();
    }

    private Costed drawOne(List<Target> remaining, Query query) {
        double total =
                remaining.stream().mapToDouble(target -> weight(target, query)).sum();
        double point = random.nextDouble() * total;
        int index = 0;
        while (index < remaining.size() - 1) {
            point -= weight(remaining.get(index), query);
            if (point < 0) {
                break;
            }
            index++;
        }
        Target drawn = remaining.remove(index);
        return new Costed(drawn, cost.reportedMillis(drawn, query));
    }

    /**
     * Returns the weight of an engine: its free slots, and once more all its slots, as these become free while the report
     * ages. By the free slots of the report alone, an engine with few of them would be avoided until the next report, and
     * overfilled after it.
     */
    private static double weight(Target target, Query query) {
        int slots = query.engine().slots();
        return slots + Math.max(0, slots - target.reportedLoad(query.nowMillis()));
    }
}
