package io.waxwingquay.reservation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/** The requests that wait for slots of an engine, by rank, account and age. */
final class WaitingRequests {

    private final Map<SlotRequest.Key, WaitingRequest> byKey = new HashMap<>();
    private final NavigableMap<Rank, NavigableSet<WaitingRequest>> byRank = new TreeMap<>();
    private long nextSequence;

    /** Adds a request that is not known yet. */
    WaitingRequest add(SlotRequest request, long nowMillis) {
        WaitingRequest added = new WaitingRequest(request, nextSequence++, nowMillis);
        byKey.put(request.key(), added);
        byRank.computeIfAbsent(request.rank(), rank -> new TreeSet<>()).add(added);
        return added;
    }

    Optional<WaitingRequest> find(SlotRequest.Key key) {
        return Optional.ofNullable(byKey.get(key));
    }

    boolean contains(SlotRequest.Key key) {
        return byKey.containsKey(key);
    }

    /** Removes a request; ignored if it does not wait. */
    void remove(SlotRequest.Key key) {
        WaitingRequest removed = byKey.remove(key);
        if (removed == null) {
            return;
        }
        NavigableSet<WaitingRequest> sameRank = byRank.get(removed.rank());
        sameRank.remove(removed);
        if (sameRank.isEmpty()) {
            byRank.remove(removed.rank());
        }
    }

    int size() {
        return byKey.size();
    }

    boolean isEmpty() {
        return byKey.isEmpty();
    }

    /** Returns a copy of all requests, in no particular order. */
    List<WaitingRequest> snapshot() {
        return List.copyOf(byKey.values());
    }

    /** Counts the slots that accounts request. */
    void addTo(FairShares shares) {
        byKey.values()
                .forEach(waiting ->
                        shares.addRequested(waiting.account(), waiting.request().accountWeight()));
    }

    /** Returns a copy of the ranks of the requests, the most urgent first. */
    List<Rank> ranks() {
        return List.copyOf(byRank.keySet());
    }

    /** Returns the request that comes last, regardless of the accounts. */
    WaitingRequest last() {
        return byRank.lastEntry().getValue().last();
    }

    /** Returns all requests in the order in which they are expected to get slots. */
    List<WaitingRequest> inOrder(FairShares shares) {
        List<WaitingRequest> ordered = new ArrayList<>(byKey.size());
        byRank.keySet().forEach(rank -> ordered.addAll(inOrder(rank, shares)));
        return ordered;
    }

    /** Returns the requests of one rank in the order in which they are expected to get slots. */
    List<WaitingRequest> inOrder(Rank rank, FairShares shares) {
        NavigableSet<WaitingRequest> sameRank = byRank.get(rank);
        List<WaitingRequest> ordered = new ArrayList<>(sameRank.size());
        List<WaitingRequest> aboveShare = new ArrayList<>();
        Map<Optional<String>, Integer> before = new HashMap<>();
        for (WaitingRequest waiting : sameRank) {
            int sameAccount = before.merge(waiting.account(), 1, Integer::sum) - 1;
            (shares.isBelow(waiting.account(), sameAccount) ? ordered : aboveShare).add(waiting);
        }
        ordered.addAll(aboveShare);
        return ordered;
    }

    /** Returns the number of requests that are expected to get slots before the given one. */
    int ahead(WaitingRequest waiting, FairShares shares) {
        int moreUrgent = byRank.headMap(waiting.rank(), false).values().stream()
                .mapToInt(Collection::size)
                .sum();
        return moreUrgent + inOrder(waiting.rank(), shares).indexOf(waiting);
    }
}
