package io.waxwingquay.routing;

import io.waxwingquay.membership.Side;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Orders the sides that may receive a request, best first. A pure function of its arguments.
 */
@FunctionalInterface
public interface RoutingPolicy {

    /** The names accepted by {@link #named}, for error messages. */
    String NAMES = "waxwingquay, round-robin, least-outstanding or model-hash";

    /**
     * Orders sides.
     *
     * @param query the request.
     * @param views the sides that may receive it.
     * @param random the source of randomness.
     * @return the same sides, best first.
     */
    List<SideView> order(RouteQuery query, List<SideView> views, RandomGenerator random);

    /**
     * Returns the sides that this policy must inspect for a request; a side left out would not have been ordered first.
     *
     * @param query the request.
     * @param index all sides.
     * @return the sides, admitted by the query or not.
     */
    default List<Side> relevantSides(RouteQuery query, SideIndex index) {
        return index.ofService(query.service());
    }

    /**
     * Finds a policy by its name in the settings.
     *
     * @param name {@code waxwingquay}, its earlier version {@code waxwingquay-1}, {@code round-robin}, {@code
     *     least-outstanding} or {@code model-hash}; {@code round-robin} and {@code least-outstanding} also with the
     *     suffix {@code -resident}, which prefers sides that hold the model.
     * @return the policy.
     * @throws IllegalArgumentException if no policy has the name.
     */
    static RoutingPolicy named(String name) {
        return switch (name) {
            case "waxwingquay" -> new Default();
            case "waxwingquay-1" -> new LeastExpectedCompletion();
            case "round-robin" -> new RoundRobin();
            case "least-outstanding" -> new LeastOutstanding();
            case "model-hash" -> new ModelHash();
            case "round-robin-resident" -> new ResidentFirst(new RoundRobin());
            case "least-outstanding-resident" -> new ResidentFirst(new LeastOutstanding());
            default -> throw new IllegalArgumentException("routing policy '" + name + "' is unknown; write " + NAMES);
        };
    }

    /**
     * Returns the weight of a side for a key in rendezvous hashing.
     *
     * @param key hash of the key.
     * @param sideId the side.
     * @return the weight; the side with the highest weight owns the key.
     */
    static long rendezvousWeight(long key, String sideId) {
        byte[] name = sideId.getBytes(StandardCharsets.UTF_8);
        int seed = (int) (key ^ (key >>> Integer.SIZE));
        return MurmurHash3.hash128x64(name, 0, name.length, seed)[0];
    }

    /**
     * Orders sides that hold the model first, then by load: the requests at the side plus the costs, expressed in
     * requests, of a prefix cached elsewhere, an absent adapter and another data centre. A resident adapter lowers the
     * cost but does not take precedence. An adapter loads in milliseconds, so always preferring its sides would queue
     * its callers at one side while other sides of the model are idle.
     */
    final class Default implements RoutingPolicy {

        private static final double COLD_PREFIX_COST_REQUESTS = 1.5;
        private static final double ABSENT_ADAPTER_COST_REQUESTS = 4;
        private static final double OTHER_DATA_CENTRE_COST_REQUESTS = 0.25;

        /** {@inheritDoc} */
        @Override
        public List<SideView> order(RouteQuery query, List<SideView> views, RandomGenerator random) {
            List<SideView> ordered = new ArrayList<>(views);
            List<SideView> holders = views.stream()
                    .filter(view -> query.countResidentItems(view.side()) > 0)
                    .toList();
            if (!query.items().isEmpty() && holders.isEmpty()) {
                ordered.sort(Comparator.comparingLong(SideView::freeBytes).reversed());
                return ordered;
            }
            String prefixOwnerId = prefixOwner(query, holders.isEmpty() ? views : holders);
            ordered.sort(Comparator.comparing((SideView view) -> query.countResidentItems(view.side()) == 0)
                    .thenComparingDouble(view -> costRequests(query, view, prefixOwnerId)));
            return ordered;
        }

        private static String prefixOwner(RouteQuery query, List<SideView> holders) {
            return holders.stream()
                    .max(Comparator.comparingLong(view ->
                            rendezvousWeight(query.prefixHash(), view.side().id())))
                    .map(view -> view.side().id())
                    .orElse("");
        }

        private static double costRequests(RouteQuery query, SideView view, String prefixOwnerId) {
            int absentItems = query.items().size() - query.countResidentItems(view.side());
            double distanceRequests =
                    view.side().dataCentre().equals(query.dataCentre()) ? 0 : OTHER_DATA_CENTRE_COST_REQUESTS;
            double prefixRequests =
                    query.items().isEmpty() || view.side().id().equals(prefixOwnerId) ? 0 : COLD_PREFIX_COST_REQUESTS;
            return view.inFlight() + prefixRequests + absentItems * ABSENT_ADAPTER_COST_REQUESTS + distanceRequests;
        }
    }

    /**
     * The first version of the default policy, kept as a baseline. Orders sides by resident items, then by expected
     * completion time, to which another data centre adds its distance; the prefix owner's time is reduced by a factor.
     * Where the prefix owner is not the best side, the better of two random sides goes first.
     */
    final class LeastExpectedCompletion implements RoutingPolicy {

        private static final double PREFIX_OWNER_FACTOR = 0.7;
        private static final double OTHER_DATA_CENTRE_MILLIS = 3;

        /**
         * {@inheritDoc}
         *
         * <p>Sides that hold the model precede all others, so the others need not be inspected while one of those
         * admits the request: at 2,400 sides inspecting them would exceed the request's whole control budget.
         */
        @Override
        public List<Side> relevantSides(RouteQuery query, SideIndex index) {
            if (query.items().isEmpty()) {
                return index.ofService(query.service());
            }
            List<Side> holders = index.holding(query.service(), query.items().get(0));
            return holders.stream().anyMatch(query::admits) ? holders : index.ofService(query.service());
        }

        /** {@inheritDoc} */
        @Override
        public List<SideView> order(RouteQuery query, List<SideView> views, RandomGenerator random) {
            List<ScoredSide> scoredSides = new ArrayList<>();
            int maxResidentItems = 0;
            for (SideView view : views) {
                ScoredSide scored = new ScoredSide(view, query.countResidentItems(view.side()), 0);
                maxResidentItems = Math.max(maxResidentItems, scored.residentItems);
                scoredSides.add(scored);
            }
            if (!query.items().isEmpty() && maxResidentItems == 0) {
                List<SideView> mostFreeMemoryFirst = new ArrayList<>(views);
                mostFreeMemoryFirst.sort(
                        Comparator.comparingLong(SideView::freeBytes).reversed());
                return mostFreeMemoryFirst;
            }
            String prefixOwnerId = prefixOwner(query, scoredSides, maxResidentItems);
            scoredSides.replaceAll(
                    scoredSide -> scoredSide.withCostMillis(costMillis(query, scoredSide.view, prefixOwnerId)));
            scoredSides.sort(Comparator.<ScoredSide>comparingInt(scoredSide -> -scoredSide.residentItems)
                    .thenComparingDouble(ScoredSide::costMillis));
            List<SideView> ordered = new ArrayList<>(scoredSides.size());
            scoredSides.forEach(scoredSide -> ordered.add(scoredSide.view));
            int bestResidentItems = maxResidentItems;
            int bestCount = (int) scoredSides.stream()
                    .filter(scoredSide -> scoredSide.residentItems == bestResidentItems)
                    .count();
            preferBetterOfTwoRandom(bestCount, ordered, random, prefixOwnerId);
            return ordered;
        }

        /**
         * Puts the better of two random sides first. If every entry sent to the one side that is best by the same stale
         * reports, that side would be flooded until its next report; two random choices spread the requests.
         */
        private static void preferBetterOfTwoRandom(
                int bestCount, List<SideView> ordered, RandomGenerator random, String prefixOwnerId) {
            if (bestCount < 3 || ordered.get(0).side().id().equals(prefixOwnerId)) {
                return;
            }
            int first = random.nextInt(bestCount);
            int second = random.nextInt(bestCount);
            ordered.add(0, ordered.remove(Math.min(first, second)));
        }

        private static String prefixOwner(RouteQuery query, List<ScoredSide> scoredSides, int maxResidentItems) {
            return scoredSides.stream()
                    .filter(scoredSide -> scoredSide.residentItems == maxResidentItems)
                    .map(scoredSide -> scoredSide.view.side().id())
                    .max(Comparator.comparingLong(id -> rendezvousWeight(query.prefixHash(), id)))
                    .orElse("");
        }

        private static double costMillis(RouteQuery query, SideView view, String prefixOwnerId) {
            double prefixFactor = view.side().id().equals(prefixOwnerId) ? PREFIX_OWNER_FACTOR : 1;
            double distanceMillis = view.side().dataCentre().equals(query.dataCentre()) ? 0 : OTHER_DATA_CENTRE_MILLIS;
            return view.expectedCompletionMillis() * prefixFactor + distanceMillis;
        }

        /**
         * A side with its score, computed once per side; a comparator that computed it would do so some twenty times
         * per side.
         */
        private record ScoredSide(SideView view, int residentItems, double costMillis) {

            private ScoredSide withCostMillis(double newCostMillis) {
                return new ScoredSide(view, residentItems, newCostMillis);
            }
        }
    }

    /** Baseline: rotates over all sides and ignores residency. */
    final class RoundRobin implements RoutingPolicy {

        /** {@inheritDoc} */
        @Override
        public List<SideView> order(RouteQuery query, List<SideView> views, RandomGenerator random) {
            List<SideView> ordered = new ArrayList<>(views);
            Collections.rotate(ordered, -(int) Math.floorMod(query.sequence(), (long) views.size()));
            return ordered;
        }
    }

    /** Baseline: prefers the side with the fewest outstanding requests of this process. */
    final class LeastOutstanding implements RoutingPolicy {

        /** {@inheritDoc} */
        @Override
        public List<SideView> order(RouteQuery query, List<SideView> views, RandomGenerator random) {
            List<SideView> ordered = new ArrayList<>(views);
            ordered.sort(Comparator.comparingInt(SideView::outstanding));
            return ordered;
        }
    }

    /** Baseline: rendezvous hashing by model. */
    final class ModelHash implements RoutingPolicy {

        /** {@inheritDoc} */
        @Override
        public List<SideView> order(RouteQuery query, List<SideView> views, RandomGenerator random) {
            List<SideView> ordered = new ArrayList<>(views);
            long key = query.hashKey().hashCode();
            ordered.sort(Comparator.<SideView>comparingLong(
                            view -> rendezvousWeight(key, view.side().id()))
                    .reversed());
            return ordered;
        }
    }

    /**
     * Baseline: another policy's order, with sides that hold the model first.
     *
     * @param delegate orders the sides within each of the two groups.
     */
    record ResidentFirst(RoutingPolicy delegate) implements RoutingPolicy {

        /** {@inheritDoc} */
        @Override
        public List<SideView> order(RouteQuery query, List<SideView> views, RandomGenerator random) {
            List<SideView> holding = views.stream()
                    .filter(view -> query.countResidentItems(view.side()) > 0)
                    .toList();
            List<SideView> rest = views.stream()
                    .filter(view -> query.countResidentItems(view.side()) == 0)
                    .toList();
            List<SideView> ordered = new ArrayList<>();
            List.of(holding, rest).stream()
                    .filter(group -> !group.isEmpty())
                    .forEach(group -> ordered.addAll(delegate.order(query, group, random)));
            return ordered;
        }
    }
}
