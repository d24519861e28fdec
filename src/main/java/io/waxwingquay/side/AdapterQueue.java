package io.waxwingquay.side;

import io.waxwingquay.ledger.MemoryLedger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Requests that wait for an adapter to become resident. Safe for concurrent use.
 */
final class AdapterQueue {

    private final MemoryLedger ledger;
    private final Map<String, List<CompletableFuture<Void>>> waiting = new LinkedHashMap<>();

    AdapterQueue(MemoryLedger ledger) {
        this.ledger = ledger;
    }

    CompletableFuture<Void> pin(String item) {
        CompletableFuture<Void> pinned = new CompletableFuture<>();
        if (ledger.pin(item)) {
            pinned.complete(null);
            return pinned;
        }
        synchronized (this) {
            waiting.computeIfAbsent(item, name -> new ArrayList<>()).add(pinned);
        }
        return pinned;
    }

    /** Items waited for, the longest waiting first. */
    synchronized List<String> awaited() {
        waiting.values().forEach(list -> list.removeIf(CompletableFuture::isDone));
        waiting.values().removeIf(List::isEmpty);
        return List.copyOf(waiting.keySet());
    }

    /** Wakes those whose adapter is resident now. */
    void settle() {
        for (String item : awaited()) {
            while (ledger.pin(item)) {
                CompletableFuture<Void> next = take(item);
                if (next == null) {
                    ledger.unpin(item);
                    break;
                }
                if (!next.complete(null)) {
                    ledger.unpin(item);
                }
            }
        }
    }

    private synchronized CompletableFuture<Void> take(String item) {
        List<CompletableFuture<Void>> list = waiting.getOrDefault(item, List.of());
        return list.isEmpty() ? null : list.remove(0);
    }
}
