package io.waxwingquay.side;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.ledger.MemoryLedger.Holding;
import io.waxwingquay.ledger.MemoryLedger.Snapshot;
import io.waxwingquay.ledger.MemoryLedger.State;
import io.waxwingquay.side.ResidencyPlan.Load;
import io.waxwingquay.side.WantedItems.Wanted;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ResidencyPlanTest {

    private static final long CAPACITY_BYTES = 100L;
    private static final int ITEMS = 8;

    @Property(tries = 500, seed = "20261202")
    void loadsOnlyWhatFitsAndEvictsNoPinnedOrProtectedItem(
            @ForAll @Size(ITEMS) List<@IntRange(max = 4) Integer> states,
            @ForAll @Size(ITEMS) List<@IntRange(min = 1, max = 40) Integer> sizes,
            @ForAll Set<@IntRange(max = ITEMS - 1) Integer> wantedItems,
            @ForAll Set<@IntRange(max = ITEMS - 1) Integer> pinned,
            @ForAll Set<@IntRange(max = ITEMS - 1) Integer> protectedItems) {
        Map<String, Holding> holdings = new HashMap<>();
        long heldBytes = 0L;
        for (int i = 0; i < ITEMS; i++) {
            if (states.get(i) < State.values().length && heldBytes + sizes.get(i) <= CAPACITY_BYTES) {
                holdings.put(name(i), new Holding(name(i), sizes.get(i), State.values()[states.get(i)], "o"));
                heldBytes += sizes.get(i);
            }
        }
        Snapshot snapshot = new Snapshot(CAPACITY_BYTES, heldBytes, holdings, names(pinned), false, Optional.of("b"));
        Wanted wanted = new Wanted(List.copyOf(names(wantedItems)), names(protectedItems));
        ResidencyPlan plan = ResidencyPlan.decide(
                snapshot, wanted, List.of(), item -> OptionalLong.of(sizes.get(index(item))), item -> 0L);
        long loadBytes = plan.loads().stream().mapToLong(Load::sizeBytes).sum();
        assertTrue(loadBytes <= snapshot.freeBytes());
        assertTrue(plan.evictions().stream().allMatch(snapshot::isResident));
        assertTrue(plan.evictions().stream().noneMatch(names(pinned)::contains));
        assertTrue(plan.evictions().stream().noneMatch(names(protectedItems)::contains));
        assertTrue(plan.evictions().stream().noneMatch(names(wantedItems)::contains));
        assertTrue(plan.loads().stream().noneMatch(load -> holdings.containsKey(load.item())));
    }

    @Test
    void evictsTheLeastRecentlyUsedAdapterFirst() {
        Map<String, Holding> holdings = Map.of(
                "model:a@1", new Holding("model:a@1", 60L, State.RESIDENT, ""),
                "adapter:a/x@1", new Holding("adapter:a/x@1", 20L, State.RESIDENT, ""),
                "adapter:a/y@1", new Holding("adapter:a/y@1", 20L, State.RESIDENT, ""));
        Snapshot snapshot = new Snapshot(CAPACITY_BYTES, 100L, holdings, Set.of(), false, Optional.of("b"));
        ResidencyPlan plan = ResidencyPlan.decide(
                snapshot,
                new Wanted(List.of("model:a@1"), Set.of()),
                List.of("adapter:a/z@1"),
                item -> OptionalLong.of(20L),
                item -> item.endsWith("x@1") ? 2L : 1L);
        assertEquals(List.of("adapter:a/y@1"), plan.evictions());
        assertEquals(List.of(), plan.loads());
    }

    private static String name(int index) {
        return "model:" + index;
    }

    private static int index(String item) {
        return Integer.parseInt(item.substring("model:".length()));
    }

    private static Set<String> names(Set<Integer> indexes) {
        return indexes.stream().map(ResidencyPlanTest::name).collect(Collectors.toSet());
    }
}
