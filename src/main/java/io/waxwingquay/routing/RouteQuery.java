package io.waxwingquay.routing;

import io.waxwingquay.membership.Side;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What routing needs to know of one request.
 *
 * @param service the service whose sides may serve it.
 * @param dataCentre the data centre of the asking process.
 * @param items what must be resident, the model first and then its adapter; empty for a plain service.
 * @param prefixHash hash of the prompt's beginning; equal ones share an engine's prefix cache.
 * @param sequence number of the request in this process, for policies that take turns.
 * @param excluded names of sides already tried.
 */
public record RouteQuery(
        String service, String dataCentre, List<String> items, long prefixHash, long sequence, Set<String> excluded) {

    /**
     * Whether a side may be asked at all.
     *
     * @param side the side.
     * @return whether it serves the service, takes work and was not tried yet.
     */
    public boolean admits(Side side) {
        return side.service().equals(service) && side.acceptsWork() && !excluded.contains(side.id());
    }

    /**
     * How many of the items, in order, the side has resident.
     *
     * @param side the side.
     * @return 0 when even the model is absent.
     */
    public int residentItems(Side side) {
        int count = 0;
        while (count < items.size() && side.residentItems().contains(items.get(count))) {
            count++;
        }
        return count;
    }

    /**
     * The key that hashing policies route by.
     *
     * @return the model's item, or the service for a plain call.
     */
    public String hashKey() {
        return items.isEmpty() ? service : items.get(0);
    }

    /**
     * The same request with one more side tried.
     *
     * @param sideId the side.
     * @return the new query.
     */
    public RouteQuery excluding(String sideId) {
        Set<String> more = new HashSet<>(excluded);
        more.add(sideId);
        return new RouteQuery(service, dataCentre, items, prefixHash, sequence, Set.copyOf(more));
    }
}
