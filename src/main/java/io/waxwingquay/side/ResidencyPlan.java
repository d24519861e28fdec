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
 * What the order loop does next: a pure decision over one snapshot of the ledger.
 *
 * @param loads items to load now; they fit.
 * @param evictions items to evict now.
 * @param unplaceable wanted items for which no room can be made.
 */
record ResidencyPlan(List<Load> loads, List<String> evictions, List<String> unplaceable) {

    private static final String ADAPTER_PREFIX = "adapter:";

    static boolean isAdapter(String item) {
        return item.startsWith(ADAPTER_PREFIX);
    }

    /**
     * Decides.
     *
     * @param snapshot the ledger.
     * @param wanted what placement wants.
     * @param awaitedAdapters adapters that requests wait for, the longest waiting first.
     * @param sizeBytes the size of an item, or empty if the bundle names none such.
     * @param lastUsedMillis when an item was last used, in milliseconds.
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
     * One load.
     *
     * @param item the item.
     * @param sizeBytes the memory it takes.
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
         * Memory is over capacity: an earlier process's order landed late. The engine may fail any request
         * until it is mended, so it goes before all else; unwanted items first, a last replica only at the end.
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

        /** Evicts nothing unless that makes enough room. */
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
