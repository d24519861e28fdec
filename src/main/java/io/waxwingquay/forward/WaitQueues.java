package io.waxwingquay.forward;

import io.waxwingquay.reservation.Rank;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Counts the requests that wait here for a slot of the same engines. This bounds the load of a model with more demand
 * than its few copies can serve: requests that are not expected to find a slot while their callers wait are rejected at
 * once, and the others are checked in order until one finds no slot.
 */
final class WaitQueues {

    /**
     * How long a queue whose first request found no slot is not checked again; one check of all waiting requests takes
     * less.
     */
    private static final long FULL_VALIDITY_MILLIS = 10L;

    private final Map<Name, Queue> queues = new HashMap<>();

    /** The queues of streams that may be resumed at one software version only. */
    private final Set<Name> resumed = new HashSet<>();

    /**
     * Returns the number of requests that precede a further one of this rank: those of its queue, and those of the other
     * queues for the same model that wait for some of the same engines.
     */
    int countAhead(Name name, Rank rank) {
        if (name.softwareVersion().isPresent()) {
            return countWaiting(name, rank) + countWaiting(name.atAnyVersion(), rank);
        }
        return countWaiting(name, rank)
                + resumed.stream()
                        .filter(other -> other.atAnyVersion().equals(name))
                        .mapToInt(other -> countWaiting(other, rank))
                        .sum();
    }

    private int countWaiting(Name name, Rank rank) {
        Queue queue = queues.get(name);
        return queue == null
                ? 0
                : queue.waitingByRank.headMap(rank, true).values().stream()
                        .mapToInt(Integer::intValue)
                        .sum();
    }

    void joined(Name name, Rank rank) {
        queues.computeIfAbsent(name, key -> new Queue()).waitingByRank.merge(rank, 1, Integer::sum);
        if (name.softwareVersion().isPresent()) {
            resumed.add(name);
        }
    }

    void left(Name name, Rank rank) {
        Queue queue = queues.get(name);
        queue.waitingByRank.computeIfPresent(rank, (key, waiting) -> waiting == 1 ? null : waiting - 1);
        if (queue.waitingByRank.isEmpty()) {
            queues.remove(name);
            resumed.remove(name);
        }
    }

    /** Returns whether any stream waits that may be resumed at one software version only. */
    boolean hasResumed() {
        return !resumed.isEmpty();
    }

    /** Returns whether any stream waits for a model at a software version, at which alone it may be resumed. */
    boolean hasResumed(Name name) {
        return resumed.contains(name);
    }

    /** Notes that a request of a queue found no slot. */
    void markFull(Name name, long nowMillis) {
        Queue queue = queues.get(name);
        if (queue != null) {
            queue.fullUntilMillis = nowMillis + FULL_VALIDITY_MILLIS;
        }
    }

    /** Returns whether an earlier request in the queue has just found no slot. */
    boolean isFull(Name name, long nowMillis) {
        Queue queue = queues.get(name);
        return queue != null && nowMillis < queue.fullUntilMillis;
    }

    /**
     * The name of the queue of requests that may run at the same engines.
     *
     * @param service the service.
     * @param model the requested model; an empty text if there is none.
     * @param softwareVersion the only software version at which a stream may be resumed; empty if a request may run at
     *     any.
     */
    record Name(String service, String model, Optional<String> softwareVersion) {

        /** Returns the queue of requests for the same model that may run at any software version. */
        Name atAnyVersion() {
            return new Name(service, model, Optional.empty());
        }
    }

    private static final class Queue {

        private final TreeMap<Rank, Integer> waitingByRank = new TreeMap<>();
        private long fullUntilMillis = Long.MIN_VALUE;
    }
}
