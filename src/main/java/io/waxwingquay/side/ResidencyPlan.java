package io.waxwingquay.side;

import io.waxwingquay.ledger.MemoryLedger.Holding;
import io.waxwingquay.ledger.MemoryLedger.Snapshot;
import io.waxwingquay.ledger.MemoryLedger.State;
import io.waxwingquay.side.WantedItems.Wanted;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/**
 * The next loads and evictions of the order loop, decided as a pure function of one snapshot of the ledger.
 *
 * @param loads the items to load now; they fit into free memory.
 * @param evictions the items to evict now.
 * @param unplaceable the wanted items for which no room can be made.
 */
record ResidencyPlan(List<Load> loads, List<String> evictions, List<String> unplaceable) {

    private static final String ADAPTER_PREFIX = "adapter:";

    static boolean isAdapter(String item) {
        return item.startsWith(ADAPTER_PREFIX);
    }

    /**
     * Decides on loads and evictions.
     *
     * @param snapshot the snapshot of the ledger.
     * @param wanted the items that placement wants or protects.
     * @param awaitedAdapters the adapters that requests wait for, the longest awaited first.
     * @param sizeBytes returns the size of an item, or empty if the bundle does not name the item.
     * @param lastUsedMillis returns when an item was last used, in milliseconds.
     * @return the plan.
     */
    static ResidencyPlan decide(
            Snapshot snapshot,
            Wanted wanted,
            List<String> awaitedAdapters,
            Function<String, OptionalLong> sizeBytes,
            ToLongFunction<String> lastUsedMillis) {
        Planner planner = new Planner(snapshot, wanted, awaitedAdapters, lastUsedMillis);
        planner.evictSurplus();
        if (!snapshot.quarantined()) {
            wanted.items().forEach(item -> sizeBytes.apply(item).ifPresent(size -> planner.place(item, size)));
            awaitedAdapters.forEach(item -> sizeBytes.apply(item).ifPresent(size -> planner.place(item, size)));
        }
        return new ResidencyPlan(
                List.copyOf(planner.loads), List.copyOf(planner.evictions), List.copyOf(planner.unplaceable));
    }

    /**
     * A load of one item.
     *
     * @param item the item name.
     * @param sizeBytes the memory that the item takes.
     */
    record Load(String item, long sizeBytes) {}

    private static final class Planner {

        private final Snapshot snapshot;
        private final Wanted wanted;
        private final Set<String> neededItems;
        private final ToLongFunction<String> lastUsedMillis;
        private final List<Load> loads = new ArrayList<>();
        private final Set<String> evictions = new LinkedHashSet<>();
        private final List<String> unplaceable = new ArrayList<>();
        private long freeBytes;
        private long freeBytesAfterEvictions;

        private Planner(
                Snapshot snapshot, Wanted wanted, List<String> awaitedAdapters, ToLongFunction<String> lastUsedMillis) {
            this.snapshot = snapshot;
            this.wanted = wanted;
            this.neededItems = new HashSet<>(wanted.items());
            this.neededItems.addAll(awaitedAdapters);
            this.lastUsedMillis = lastUsedMillis;
            this.freeBytes = snapshot.freeBytes();
            this.freeBytesAfterEvictions = freeBytes + evictingBytes();
        }

        private long evictingBytes() {
            return snapshot.holdings().values().stream()
                    .filter(holding -> holding.state() == State.EVICTING)
                    .mapToLong(Holding::sizeBytes)
                    .sum();
        }

        /**
         * Evicts items while the memory exceeds its capacity, which happens when an order of an earlier process arrives
         * late. Until the surplus is gone the engine may fail any request, so this precedes all other decisions.
         * Unwanted items are evicted first, a last copy only at the end.
         */
        private void evictSurplus() {
            long heldBytes = snapshot.holdings().values().stream()
                    .mapToLong(Holding::sizeBytes)
                    .sum();
            long surplusBytes = heldBytes - snapshot.capacityBytes() - evictingBytes();
            for (Holding holding : surplusCandidates()) {
                if (surplusBytes <= 0L) {
                    return;
                }
                evictions.add(holding.item());
                surplusBytes -= holding.sizeBytes();
            }
        }

        private List<Holding> surplusCandidates() {
            Comparator<Holding> order = Comparator.comparing(
                            (Holding holding) -> wanted.protectedItems().contains(holding.item()))
                    .thenComparing(holding -> neededItems.contains(holding.item()))
                    .thenComparingLong(holding -> lastUsedMillis.applyAsLong(holding.item()))
                    .thenComparing(Holding::item);
            return evictable().sorted(order).toList();
        }

        private java.util.stream.Stream<Holding> evictable() {
            return snapshot.holdings().values().stream()
                    .filter(holding -> holding.state() == State.RESIDENT)
                    .filter(holding -> !snapshot.pinned().contains(holding.item()))
                    .filter(holding -> !evictions.contains(holding.item()));
        }

        private List<Holding> evictionCandidates() {
            Comparator<Holding> order = Comparator.comparing((Holding holding) -> !isAdapter(holding.item()))
                    .thenComparingLong(holding -> lastUsedMillis.applyAsLong(holding.item()))
                    .thenComparing(Holding::item);
            return evictable()
                    .filter(holding -> !neededItems.contains(holding.item()))
                    .filter(holding -> !wanted.protectedItems().contains(holding.item()))
                    .sorted(order)
                    .toList();
        }

        private void place(String item, long sizeBytes) {
            if (snapshot.holdings().containsKey(item)) {
                return;
            }
            if (sizeBytes <= freeBytes) {
                loads.add(new Load(item, sizeBytes));
                freeBytes -= sizeBytes;
                freeBytesAfterEvictions -= sizeBytes;
            } else if (makeRoom(sizeBytes)) {
                freeBytesAfterEvictions -= sizeBytes;
                freeBytes = 0L;
            } else {
                unplaceable.add(item);
            }
        }

        /** Evicts the candidates that make room for an item, or nothing if all of them would not. */
        private boolean makeRoom(long sizeBytes) {
            long availableBytes = freeBytesAfterEvictions;
            List<String> chosen = new ArrayList<>();
            for (Holding candidate : evictionCandidates()) {
                if (availableBytes >= sizeBytes) {
                    break;
                }
                chosen.add(candidate.item());
                availableBytes += candidate.sizeBytes();
            }
            if (availableBytes < sizeBytes) {
                return false;
            }
            evictions.addAll(chosen);
            freeBytesAfterEvictions = availableBytes;
            return true;
        }
    }
}
