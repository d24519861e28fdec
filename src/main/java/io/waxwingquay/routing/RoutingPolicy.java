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

        private static final double COLD_PREFIX = 1.5;
        private static final double ABSENT_ADAPTER = 4;
        private static final double OTHER_DATA_CENTRE = 0.25;

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
            String home = home(query, holders.isEmpty() ? views : holders);
            ordered.sort(Comparator.comparing((SideView view) -> query.countResidentItems(view.side()) == 0)
                    .thenComparingDouble(view -> cost(query, view, home)));
            return ordered;
        }

        private static String home(RouteQuery query, List<SideView> holders) {
            return holders.stream()
                    .max(Comparator.comparingLong(view ->
                            rendezvousWeight(query.prefixHash(), view.side().id())))
                    .map(view -> view.side().id())
                    .orElse("");
        }

        private static double cost(RouteQuery query, SideView view, String home) {
            int missing = query.items().size() - query.countResidentItems(view.side());
            double distance = view.side().dataCentre().equals(query.dataCentre()) ? 0 : OTHER_DATA_CENTRE;
            double prefix = query.items().isEmpty() || view.side().id().equals(home) ? 0 : COLD_PREFIX;
            return view.inFlight() + prefix + missing * ABSENT_ADAPTER + distance;
        }
    }

    /**
     * The first policy of ours, kept to measure against. Resident items first, then the least expected finish, to which another data centre adds its distance and
     * from which the prefix's home takes a bonus; away from that home the better of two random choices.
     */
    final class LeastExpectedCompletion implements RoutingPolicy {

        private static final double PREFIX_BONUS = 0.7;
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
            List<Rated> rated = new ArrayList<>();
            int most = 0;
            for (SideView view : views) {
                Rated next = new Rated(view, query.countResidentItems(view.side()), 0);
                most = Math.max(most, next.residentItems);
                rated.add(next);
            }
            if (!query.items().isEmpty() && most == 0) {
                List<SideView> roomiestFirst = new ArrayList<>(views);
                roomiestFirst.sort(Comparator.comparingLong(SideView::freeBytes).reversed());
                return roomiestFirst;
            }
            String home = prefixHome(query, rated, most);
            rated.replaceAll(each -> each.withCost(cost(query, each.view, home)));
            rated.sort(
                    Comparator.<Rated>comparingInt(each -> -each.residentItems).thenComparingDouble(Rated::cost));
            List<SideView> ordered = new ArrayList<>(rated.size());
            rated.forEach(each -> ordered.add(each.view));
            int bestResidentItems = most;
            int equals = (int) rated.stream()
                    .filter(each -> each.residentItems == bestResidentItems)
                    .count();
            chooseOfTwo(equals, ordered, random, home);
            return ordered;
        }

        /**
         * Puts the better of two random sides first. If all entries sent to the one best side of the same
         * lagging reports, it would be flooded until its next report; two random choices spread them.
         */
        private static void chooseOfTwo(int equals, List<SideView> ordered, RandomGenerator random, String home) {
            if (equals < 3 || ordered.get(0).side().id().equals(home)) {
                return;
            }
            int one = random.nextInt(equals);
            int two = random.nextInt(equals);
            ordered.add(0, ordered.remove(Math.min(one, two)));
        }

        private static String prefixHome(RouteQuery query, List<Rated> rated, int mostResidentItems) {
            return rated.stream()
                    .filter(each -> each.residentItems == mostResidentItems)
                    .map(each -> each.view.side().id())
                    .max(Comparator.comparingLong(id -> rendezvousWeight(query.prefixHash(), id)))
                    .orElse("");
        }

        private static double cost(RouteQuery query, SideView view, String home) {
            double bonus = view.side().id().equals(home) ? PREFIX_BONUS : 1;
            double distance = view.side().dataCentre().equals(query.dataCentre()) ? 0 : OTHER_DATA_CENTRE_MILLIS;
            return view.expectedCompletionMillis() * bonus + distance;
        }

        /** Each side is rated once, as a comparison that rates afresh does so some twenty times a side. */
        private record Rated(SideView view, int residentItems, double cost) {

            private Rated withCost(double newCost) {
                return new Rated(view, residentItems, newCost);
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
