package io.waxwingquay.claim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * Queue that collects items while a batch is in flight. At most one batch is in flight, a batch holds each key once,
 * and no item is lost or returned twice. Safe for concurrent use.
 *
 * @param <T> the type of the items.
 */
public final class BatchQueue<T> {

    private final Function<T, String> keyOf;
    private final int maximumItems;
    private List<T> waiting = new ArrayList<>();
    private boolean inFlight;

    /**
     * Creates an idle queue.
     *
     * @param maximumItems the largest batch.
     * @param keyOf returns the key of an item.
     */
    public BatchQueue(int maximumItems, Function<T, String> keyOf) {
        this.maximumItems = maximumItems;
        this.keyOf = keyOf;
    }

    /**
     * Adds an item.
     *
     * @param item the item.
     * @return the batch that the calling thread must now send; empty while another is in flight.
     */
    public synchronized List<T> add(T item) {
        waiting.add(item);
        return inFlight ? List.of() : nextBatch();
    }

    /**
     * Completes the batch in flight.
     *
     * @return the next batch, which the calling thread must now send; empty if the queue is idle.
     */
    public synchronized List<T> completeBatch() {
        inFlight = false;
        return nextBatch();
    }

    private List<T> nextBatch() {
        List<T> batch = new ArrayList<>();
        List<T> rest = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        for (T item : waiting) {
            boolean isAccepted = batch.size() < maximumItems && keys.add(keyOf.apply(item));
            (isAccepted ? batch : rest).add(item);
        }
        waiting = rest;
        inFlight = !batch.isEmpty();
        return batch;
    }
}
