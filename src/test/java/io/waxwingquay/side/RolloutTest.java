package io.waxwingquay.side;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.ledger.MemoryLedger.Holding;
import io.waxwingquay.ledger.MemoryLedger.Snapshot;
import io.waxwingquay.ledger.MemoryLedger.State;
import io.waxwingquay.membership.Side;
import io.waxwingquay.placement.DemandThresholds;
import io.waxwingquay.placement.PlacementInput;
import io.waxwingquay.placement.PlacementStrategy;
import io.waxwingquay.placement.Plan;
import io.waxwingquay.side.WantedItems.Wanted;
import io.waxwingquay.transport.generated.SideState;
import io.waxwingquay.transport.generated.TargetKind;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class RolloutTest {

    private static final long CAPACITY_BYTES = 40L;
    private static final int SIDES = 3;
    private static final int LAYOUTS = 300;
    private static final int ROUNDS = 40;

    // Guards against a rollout that deadlocks and serves an old version for ever. Larger versions of all models are
    // rolled out while every accelerator is full of old ones. Each side may only evict copies that are not the last
    // one, and no two sides may wait for each other.
    @Test
    void rolloutOfLargerVersionsIntoFullAcceleratorsCompletes() {
        for (int layout = 0; layout < LAYOUTS; layout++) {
            Random random = new Random(layout);
            Map<String, Set<String>> itemsBySide = new TreeMap<>();
            IntStream.range(0, SIDES).forEach(number -> itemsBySide.put("side-" + random.nextInt(), new TreeSet<>()));
            runRounds(itemsBySide, bundle("1", 14L), random);
            Bundle next = bundle("2", 18L);
            runRounds(itemsBySide, next, random);
            List<String> resident =
                    itemsBySide.values().stream().flatMap(Set::stream).toList();
            List<String> items = next.models().stream().map(Bundle.Model::item).toList();
            assertTrue(resident.containsAll(items), "layout " + layout + " is stuck at " + itemsBySide);
        }
    }

    private static void runRounds(Map<String, Set<String>> itemsBySide, Bundle bundle, Random random) {
        List<String> names = List.copyOf(itemsBySide.keySet());
        for (int round = 0; round < ROUNDS; round++) {
            runSide(itemsBySide, bundle, names.get(random.nextInt(names.size())));
        }
    }

    /** Lets one side plan, evict and load; all sides see the result before the next one plans. */
    private static void runSide(Map<String, Set<String>> itemsBySide, Bundle bundle, String name) {
        List<Side> sides = itemsBySide.keySet().stream()
                .map(each -> side(each, List.copyOf(itemsBySide.keySet()).indexOf(each), itemsBySide.get(each)))
                .toList();
        Plan.Share share = PlacementStrategy.named("planned", DemandThresholds.DEFAULT)
                .plan(PlacementInput.of(bundle, "s", sides, Plan.EMPTY, 0L))
                .shareOf(name);
        Wanted wanted = new Wanted(share.wantedItems(), share.protectedItems());
        ResidencyPlan plan =
                ResidencyPlan.decide(snapshot(itemsBySide.get(name)), wanted, List.of(), RolloutTest::size, item -> 0L);
        itemsBySide.get(name).removeAll(plan.evictions());
        plan.loads().forEach(load -> itemsBySide.get(name).add(load.item()));
    }

    private static Snapshot snapshot(Set<String> items) {
        Map<String, Holding> holdings = new HashMap<>();
        items.forEach(item -> holdings.put(item, new Holding(item, size(item).orElseThrow(), State.RESIDENT, "")));
        long countedBytes =
                holdings.values().stream().mapToLong(Holding::sizeBytes).sum();
        return new Snapshot(CAPACITY_BYTES, countedBytes, holdings, Set.of(), false, java.util.Optional.of("boot"));
    }

    private static OptionalLong size(String item) {
        return OptionalLong.of(item.endsWith("@1") ? 14L : 18L);
    }

    private static Side side(String name, int number, Set<String> items) {
        return new Side(
                name,
                new HostPort("127.0.0.1", 1),
                "dc-" + number,
                "s",
                number,
                TargetKind.MODEL_ENGINE,
                1L,
                1L,
                SideState.SERVING,
                CAPACITY_BYTES,
                Set.copyOf(items),
                Map.of(),
                true);
    }

    private static Bundle bundle(String version, long sizeBytes) {
        return new Bundle(
                1L,
                new Bundle.Keys(List.of(), List.of()),
                List.of(new Bundle.Service("s", Bundle.Kind.MODEL, SIDES, CAPACITY_BYTES, 1, true, 2, 1.0, 2, 4)),
                Stream.of("a", "b", "c", "d")
                        .map(model -> new Bundle.Model(model, "s", version, sizeBytes, 1))
                        .toList(),
                List.of(),
                List.of());
    }
}
