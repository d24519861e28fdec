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
 * Orders the sides that may be asked, best first. A pure function of its arguments.
 */
@FunctionalInterface
public interface RoutingPolicy {

    /** The names that {@link #named} knows, for messages. */
    String NAMES = "waxwingquay, round-robin, least-outstanding or model-hash";

    /**
     * Orders sides.
     *
     * @param query the request.
     * @param views the sides that may be asked.
     * @param random the source of choices.
     * @return the same sides, best first.
     */
    List<SideView> order(RouteQuery query, List<SideView> views, RandomGenerator random);

    /**
     * The sides that this policy has to see for a request; those it leaves out would not have been put first.
     *
     * @param query the request.
     * @param index all sides.
     * @return the sides, admitted or not.
     */
    default List<Side> relevantSides(RouteQuery query, SideIndex index) {
        return index.ofService(query.service());
    }

    /**
     * Finds a policy by the name that settings use.
     *
     * @param name {@code waxwingquay}, its earlier {@code waxwingquay-1}, {@code round-robin}, {@code least-outstanding} or {@code model-hash}; the first two
     *     baselines also with {@code -resident} behind, to ask sides that hold the model first.
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
     * The weight of a side for a key in rendezvous hashing.
     *
     * @param key hash of the key.
     * @param sideId the side's name.
     * @return the weight; the side with the highest wins.
     */
    static long rendezvousWeight(long key, String sideId) {
        byte[] name = sideId.getBytes(StandardCharsets.UTF_8);
        int seed = (int) (key ^ (key >>> Integer.SIZE));
        return MurmurHash3.hash128x64(name, 0, name.length, seed)[0];
    }

    /**
     * Sides that hold the model first, then the fewest requests at the side, to which a prefix that is cached
     * elsewhere, an adapter to load and another data centre add what they cost, counted in requests. An adapter
     * loads in milliseconds: were its sides always preferred, its callers would queue at one side while the
     * model's other sides are idle.
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
     * The first policy of ours, kept to measure against. Resident items first, then the least expected finish, to which another data centre adds its distance and
     * from which the prefix's home takes a bonus; away from that home the better of two random choices.
     */
    final class LeastExpectedCompletion implements RoutingPolicy {

        private static final double PREFIX_OWNER_FACTOR = 0.7;
        private static final double OTHER_DATA_CENTRE_MILLIS = 3;

        /**
         * {@inheritDoc}
         *
         * <p>Sides that hold the model go before all others, so while one of them may be asked the others need not
         * be seen: at 2,400 sides they would cost more than the request's whole control budget.
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
         * Puts the better of two random sides first. If all entries sent to the one best side of the same
         * lagging reports, it would be flooded until its next report; two random choices spread them.
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

        /** Each side is rated once, as a comparison that rates afresh does so some twenty times a side. */
        private record ScoredSide(SideView view, int residentItems, double costMillis) {

            private ScoredSide withCostMillis(double newCostMillis) {
                return new ScoredSide(view, residentItems, newCostMillis);
            }
        }
    }

    /** Baseline: turns over all sides, blind to residency. */
    final class RoundRobin implements RoutingPolicy {

        /** {@inheritDoc} */
        @Override
        public List<SideView> order(RouteQuery query, List<SideView> views, RandomGenerator random) {
            List<SideView> ordered = new ArrayList<>(views);
            Collections.rotate(ordered, -(int) Math.floorMod(query.sequence(), (long) views.size()));
            return ordered;
        }
    }

    /** Baseline: the side with the fewest requests of this process. */
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
     * Baseline: another policy's order, but sides that hold the model go first.
     *
     * @param delegate the order among equals.
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
