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
public interface Policy {

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
    default List<Side> considered(RouteQuery query, SideIndex index) {
        return index.ofService(query.service());
    }

    /**
     * Finds a policy by the name that settings use.
     *
     * @param name {@code waxwingquay}, {@code round-robin}, {@code least-outstanding} or {@code model-hash}; the first two
     *     baselines also with {@code -resident} behind, to ask sides that hold the model first.
     * @return the policy.
     * @throws IllegalArgumentException if no policy has the name.
     */
    static Policy named(String name) {
        return switch (name) {
            case "waxwingquay" -> new Default();
            case "round-robin" -> new RoundRobin();
            case "least-outstanding" -> new LeastOutstanding();
            case "model-hash" -> new ModelHash();
            case "round-robin-resident" -> new ResidentFirst(new RoundRobin());
            case "least-outstanding-resident" -> new ResidentFirst(new LeastOutstanding());
            default -> throw new IllegalArgumentException("routing policy '" + name
                    + "' is unknown; write waxwingquay, round-robin, least-outstanding or model-hash");
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
     * Resident items first, then the least expected finish, to which another data centre adds its distance and
     * from which the prefix's home takes a bonus; away from that home the better of two random choices.
     */
    final class Default implements Policy {

        private static final double PREFIX_BONUS = 0.7;
        private static final double OTHER_DATA_CENTRE_MILLIS = 3;

        /**
         * {@inheritDoc}
         *
         * <p>Sides that hold the model go before all others, so while one of them may be asked the others need not
         * be seen: at 2,400 sides they would cost more than the request's whole control budget.
         */
        @Override
        public List<Side> considered(RouteQuery query, SideIndex index) {
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
                Rated next = new Rated(view, query.residentItems(view.side()), 0);
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
            return view.expectedFinishMillis() * bonus + distance;
        }

        /** Each side is rated once, as a comparison that rates afresh does so some twenty times a side. */
        private record Rated(SideView view, int residentItems, double cost) {

            private Rated withCost(double newCost) {
                return new Rated(view, residentItems, newCost);
            }
        }
    }

    /** Baseline: turns over all sides, blind to residency. */
    final class RoundRobin implements Policy {

        /** {@inheritDoc} */
        @Override
        public List<SideView> order(RouteQuery query, List<SideView> views, RandomGenerator random) {
            List<SideView> ordered = new ArrayList<>(views);
            Collections.rotate(ordered, -(int) Math.floorMod(query.sequence(), (long) views.size()));
            return ordered;
        }
    }

    /** Baseline: the side with the fewest requests of this process. */
    final class LeastOutstanding implements Policy {

        /** {@inheritDoc} */
        @Override
        public List<SideView> order(RouteQuery query, List<SideView> views, RandomGenerator random) {
            List<SideView> ordered = new ArrayList<>(views);
            ordered.sort(Comparator.comparingInt(SideView::outstanding));
            return ordered;
        }
    }

    /** Baseline: rendezvous hashing by model. */
    final class ModelHash implements Policy {

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
     * @param inner the order among equals.
     */
    record ResidentFirst(Policy inner) implements Policy {

        /** {@inheritDoc} */
        @Override
        public List<SideView> order(RouteQuery query, List<SideView> views, RandomGenerator random) {
            List<SideView> holding = views.stream()
                    .filter(view -> query.residentItems(view.side()) > 0)
                    .toList();
            List<SideView> rest = views.stream()
                    .filter(view -> query.residentItems(view.side()) == 0)
                    .toList();
            List<SideView> ordered = new ArrayList<>();
            List.of(holding, rest).stream()
                    .filter(group -> !group.isEmpty())
                    .forEach(group -> ordered.addAll(inner.order(query, group, random)));
            return ordered;
        }
    }
}
