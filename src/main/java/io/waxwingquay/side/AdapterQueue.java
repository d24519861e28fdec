package io.waxwingquay.side;

import io.waxwingquay.ledger.MemoryLedger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Holds the requests that wait for an adapter to become resident. Safe for concurrent use.
 */
final class AdapterQueue {

    private final MemoryLedger ledger;
    private final Map<String, List<CompletableFuture<Void>>> waitersByItem = new LinkedHashMap<>();

    AdapterQueue(MemoryLedger ledger) {
        this.ledger = ledger;
    }

    /**
     * Pins an adapter as soon as it is resident.
     *
     * @param item the adapter's item name.
     * @return completes when the adapter is pinned once; cancel it to stop waiting.
     */
    CompletableFuture<Void> pin(String item) {
        CompletableFuture<Void> pinned = new CompletableFuture<>();
        if (ledger.pin(item)) {
            pinned.complete(null);
            return pinned;
        }
        synchronized (this) {
            waitersByItem.computeIfAbsent(item, name -> new ArrayList<>()).add(pinned);
        }
        return pinned;
    }

    /** Returns the items that requests wait for, the longest awaited first. */
    synchronized List<String> awaitedItems() {
        waitersByItem.values().forEach(list -> list.removeIf(CompletableFuture::isDone));
        waitersByItem.values().removeIf(List::isEmpty);
        return List.copyOf(waitersByItem.keySet());
    }

    /** Pins resident adapters for the requests that wait for them, in order of arrival. */
    void completeResident() {
        for (String item : awaitedItems()) {
            while (ledger.pin(item)) {
                CompletableFuture<Void> waiter = removeFirst(item);
                if (waiter == null) {
                    ledger.unpin(item);
                    break;
                }
                if (!waiter.complete(null)) {
                    ledger.unpin(item);
                }
            }
        }
    }

    private synchronized CompletableFuture<Void> removeFirst(String item) {
        List<CompletableFuture<Void>> waiters = waitersByItem.getOrDefault(item, List.of());
        return waiters.isEmpty() ? null : waiters.remove(0);
    }
}
