package io.waxwingquay.routing;

import io.waxwingquay.membership.Side;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The properties of a request that routing depends on.
 *
 * @param service the service whose sides may serve it.
 * @param dataCentre the data centre of the sending process.
 * @param items the items that must be resident, the model first and then its adapter; empty for a plain service.
 * @param prefixHash hash of the start of the prompt; requests with equal hashes share an engine's prefix cache.
 * @param sequence number of the request in this process, for policies that rotate.
 * @param excludedSideIds sides already tried.
 */
public record RouteQuery(
        String service,
        String dataCentre,
        List<String> items,
        long prefixHash,
        long sequence,
        Set<String> excludedSideIds) {

    /**
     * Returns whether a side may receive this request.
     *
     * @param side the side.
     * @return whether it belongs to the service, accepts work and was not tried yet.
     */
    public boolean admits(Side side) {
        return side.service().equals(service) && side.acceptsWork() && !excludedSideIds.contains(side.id());
    }

    /**
     * Counts how many of the items, in order, are resident on a side.
     *
     * @param side the side.
     * @return the number of items; 0 when even the model is absent.
     */
    public int countResidentItems(Side side) {
        int count = 0;
        while (count < items.size() && side.residentItems().contains(items.get(count))) {
            count++;
        }
        return count;
    }

    /**
     * Returns the key that hashing policies route by.
     *
     * @return the model's item, or the service for a plain request.
     */
    public String hashKey() {
        return items.isEmpty() ? service : items.get(0);
    }

    /**
     * Creates a copy of this query that excludes one more side.
     *
     * @param sideId the side.
     * @return the new query.
     */
    public RouteQuery excluding(String sideId) {
        Set<String> extended = new HashSet<>(excludedSideIds);
        extended.add(sideId);
        return new RouteQuery(service, dataCentre, items, prefixHash, sequence, Set.copyOf(extended));
    }
}
