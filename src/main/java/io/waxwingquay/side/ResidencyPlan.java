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
 * @param refused wanted items for which no room can be made.
 */
record ResidencyPlan(List<Load> loads, List<String> evictions, List<String> refused) {

    private static final String ADAPTER_PREFIX = "adapter:";

    static boolean isAdapter(String item) {
        return item.startsWith(ADAPTER_PREFIX);
    }

    /**
     * Decides.
     *
     * @param snapshot the ledger.
     * @param wanted what placement wants.
     * @param adapters adapters that requests wait for, the longest waiting first.
     * @param sizes the size of an item, or empty if the bundle names none such.
     * @param lastUsed when an item was last used, in milliseconds.
     */
    static ResidencyPlan decide(
            Snapshot snapshot,
            Wanted wanted,
            List<String> adapters,
            Function<String, OptionalLong> sizes,
            ToLongFunction<String> lastUsed) {
        Decision decision = new Decision(snapshot, wanted, adapters, lastUsed);
        decision.evictSurplus();
        if (!snapshot.quarantined()) {
            wanted.items().forEach(item -> sizes.apply(item).ifPresent(size -> decision.place(item, size)));
            adapters.forEach(item -> sizes.apply(item).ifPresent(size -> decision.place(item, size)));
        }
        return new ResidencyPlan(
                List.copyOf(decision.loads), List.copyOf(decision.evictions), List.copyOf(decision.refused));
    }

    /**
     * One load.
     *
     * @param item the item.
     * @param sizeBytes the memory it takes.
     */
    record Load(String item, long sizeBytes) {}

    private static final class Decision {

        private final Snapshot snapshot;
        private final Wanted wanted;
        private final Set<String> needed;
        private final ToLongFunction<String> lastUsed;
        private final List<Load> loads = new ArrayList<>();
        private final Set<String> evictions = new LinkedHashSet<>();
        private final List<String> refused = new ArrayList<>();
        private long freeBytes;
        private long expectedBytes;

        private Decision(Snapshot snapshot, Wanted wanted, List<String> adapters, ToLongFunction<String> lastUsed) {
            this.snapshot = snapshot;
            this.wanted = wanted;
            this.needed = new HashSet<>(wanted.items());
            this.needed.addAll(adapters);
            this.lastUsed = lastUsed;
            this.freeBytes = snapshot.freeBytes();
            this.expectedBytes = freeBytes + evictingBytes();
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
            for (Holding holding : bySacrifice()) {
                if (surplusBytes <= 0L) {
                    return;
                }
                evictions.add(holding.item());
                surplusBytes -= holding.sizeBytes();
            }
        }

        private List<Holding> bySacrifice() {
            Comparator<Holding> order = Comparator.comparing(
                            (Holding holding) -> wanted.protectedItems().contains(holding.item()))
                    .thenComparing(holding -> needed.contains(holding.item()))
                    .thenComparingLong(holding -> lastUsed.applyAsLong(holding.item()))
                    .thenComparing(Holding::item);
            return idle().sorted(order).toList();
        }

        private java.util.stream.Stream<Holding> idle() {
            return snapshot.holdings().values().stream()
                    .filter(holding -> holding.state() == State.RESIDENT)
                    .filter(holding -> !snapshot.pinned().contains(holding.item()))
                    .filter(holding -> !evictions.contains(holding.item()));
        }

        private List<Holding> victims() {
            Comparator<Holding> order = Comparator.comparing((Holding holding) -> !isAdapter(holding.item()))
                    .thenComparingLong(holding -> lastUsed.applyAsLong(holding.item()))
                    .thenComparing(Holding::item);
            return idle().filter(holding -> !needed.contains(holding.item()))
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
                expectedBytes -= sizeBytes;
            } else if (makeRoom(sizeBytes)) {
                expectedBytes -= sizeBytes;
                freeBytes = 0L;
            } else {
                refused.add(item);
            }
        }

        /** Evicts nothing unless that makes enough room. */
        private boolean makeRoom(long sizeBytes) {
            long roomBytes = expectedBytes;
            List<String> chosen = new ArrayList<>();
            for (Holding victim : victims()) {
                if (roomBytes >= sizeBytes) {
                    break;
                }
                chosen.add(victim.item());
                roomBytes += victim.sizeBytes();
            }
            if (roomBytes < sizeBytes) {
                return false;
            }
            evictions.addAll(chosen);
            expectedBytes = roomBytes;
            return true;
        }
    }
}
