package io.waxwingquay.forward;

import io.waxwingquay.reservation.Rank;
import java.util.HashMap;
import java.util.Map;
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

    private final Map<String, Queue> queues = new HashMap<>();

    /** Returns the number of requests in a queue that precede a further one of this rank. */
    int countAhead(String name, Rank rank) {
        Queue queue = queues.get(name);
        return queue == null
                ? 0
                : queue.waitingByRank.headMap(rank, true).values().stream()
                        .mapToInt(Integer::intValue)
                        .sum();
    }

    void joined(String name, Rank rank) {
        queue(name).waitingByRank.merge(rank, 1, Integer::sum);
    }

    void left(String name, Rank rank) {
        Queue queue = queue(name);
        queue.waitingByRank.computeIfPresent(rank, (key, waiting) -> waiting == 1 ? null : waiting - 1);
        if (queue.waitingByRank.isEmpty()) {
            queues.remove(name);
        }
    }

    /** Notes that a request of a queue found no slot. */
    void markFull(String name, long nowMillis) {
        Queue queue = queues.get(name);
        if (queue != null) {
            queue.fullUntilMillis = nowMillis + FULL_VALIDITY_MILLIS;
        }
    }

    /** Returns whether an earlier request in the queue has just found no slot. */
    boolean isFull(String name, long nowMillis) {
        Queue queue = queues.get(name);
        return queue != null && nowMillis < queue.fullUntilMillis;
    }

    private Queue queue(String name) {
        return queues.computeIfAbsent(name, key -> new Queue());
    }

    private static final class Queue {

        private final TreeMap<Rank, Integer> waitingByRank = new TreeMap<>();
        private long fullUntilMillis = Long.MIN_VALUE;
    }
}
