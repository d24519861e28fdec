package io.waxwingquay.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Selects the sides for a request. A pure function of the views and the random source.
 *
 * @param policy orders the sides that may receive the request.
 */
public record Router(RoutingPolicy policy) {

    /**
     * Orders the sides that may receive a request.
     *
     * @param query the request.
     * @param views all sides with their load.
     * @param random the source of randomness.
     * @return sides that belong to the service and accept work, best first; empty if there is none.
     */
    public List<SideView> candidates(RouteQuery query, List<SideView> views, RandomGenerator random) {
        List<SideView> admitted =
                views.stream().filter(view -> query.admits(view.side())).toList();
        return admitted.isEmpty() ? admitted : policy.order(query, admitted, random);
    }
}
