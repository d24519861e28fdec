package io.waxwingquay.forward;

import io.waxwingquay.manifest.Engine;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Selects one of the engines that hold the model of a request. */
interface EngineSelection {

    /**
     * Selects an engine.
     *
     * @param query the request and the engines, of which there is at least one.
     */
    Target select(Query query);

    /**
     * A request and the engines that it may be sent to.
     *
     * @param targets the engines.
     * @param triedTargets the engines that the request was sent to, or that have denied it.
     * @param engine their configuration.
     * @param requirements what the request requires of an engine.
     * @param withoutSubstitute the engines whose streams no other engine could resume.
     * @param nowMillis the monotonic time.
     */
    record Query(
            List<Target> targets,
            Set<Target> triedTargets,
            Engine engine,
            EngineRequirements requirements,
            Set<Target> withoutSubstitute,
            long nowMillis) {

        Query among(List<Target> others) {
            return new Query(others, triedTargets, engine, requirements, withoutSubstitute, nowMillis);
        }
    }

    /**
     * An engine and its cost.
     *
     * @param target the engine.
     * @param costMillis the cost, without that of its data centre.
     */
    record Costed(Target target, double costMillis) {

        static final Comparator<Costed> ORDER = Comparator.comparingDouble(Costed::costMillis);

        Costed plus(double millis) {
            return new Costed(target, costMillis + millis);
        }
    }

    /** Selects the engine of the least estimated cost. */
    final class LeastCost implements EngineSelection {

        private final EngineCost cost;
        private final RandomGenerator random;

        LeastCost(EngineCost cost, RandomGenerator random) {
            this.cost = cost;
            this.random = random;
        }

        /** {@inheritDoc} */
        @Override
        public Target select(Query query) {
            // Up to a millisecond of noise breaks ties.
            return query.targets().stream()
                    .map(target -> new Costed(target, cost.estimatedMillis(target, query) + random.nextDouble()))
                    .min(Costed.ORDER)
                    .map(Costed::target)
                    .orElseThrow();
        }
    }

    /** Creates a strategy. */
    @FunctionalInterface
    interface Factory {

        /**
         * Creates a strategy.
         *
         * @param cost estimates the costs of engines.
         * @param random the source of randomness.
         */
        EngineSelection create(EngineCost cost, RandomGenerator random);
    }
}
