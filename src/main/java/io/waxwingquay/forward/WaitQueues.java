package io.waxwingquay.forward;

import java.util.HashMap;
import java.util.Map;

/**
 * How many requests wait here for room in the same engines. Answers the load of a model that is asked for more than its
 * few copies can run: what is not expected to find room while its caller is there is refused at once, and the others are
 * looked at in order until the first finds no room.
 */
final class WaitQueues {

    /** A queue whose first found no room is not looked at again within this; one look of all that wait takes less. */
    private static final long FULL_VALIDITY_MILLIS = 10L;

    private final Map<String, Queue> queues = new HashMap<>();

    /** How many wait in a queue. */
    int size(String name) {
        Queue queue = queues.get(name);
        return queue == null ? 0 : queue.waiting;
    }

    void joined(String name) {
        queue(name).waiting++;
    }

    void left(String name) {
        Queue queue = queue(name);
        queue.waiting--;
        if (queue.waiting == 0) {
            queues.remove(name);
        }
    }

    /** One of a queue has found no room. */
    void markFull(String name, long nowMillis) {
        Queue queue = queues.get(name);
        if (queue != null) {
            queue.fullUntilMillis = nowMillis + FULL_VALIDITY_MILLIS;
        }
    }

    /** Whether one before it in the queue has just found no room. */
    boolean isFull(String name, long nowMillis) {
        Queue queue = queues.get(name);
        return queue != null && nowMillis < queue.fullUntilMillis;
    }

    private Queue queue(String name) {
        return queues.computeIfAbsent(name, key -> new Queue());
    }

    private static final class Queue {

        private int waiting;
        private long fullUntilMillis = Long.MIN_VALUE;
    }
}
