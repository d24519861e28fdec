package io.waxwingquay.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.placement.PlacementInput.LiveSide;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RendezvousPlacementTest {

    private static final String SERVICE = "models";
    private static final long CAPACITY_BYTES = 100;
    private static final long LARGEST_BYTES = 30;
    private static final DemandThresholds THRESHOLDS = new DemandThresholds(3, 1, 60_000);

    private final RendezvousPlacement placement = new RendezvousPlacement(THRESHOLDS);

    @Property(tries = 300, seed = "20261202")
    void everyModelIsPlacedAndThePlanFitsWhenCapacitySuffices(
            @ForAll @IntRange(min = 1, max = 24) int sides, @ForAll long seed) {
        Random random = new Random(seed);
        Bundle bundle = bundle(modelsThatFit(sides, random));
        PlacementInput input =
                input(bundle, withRandomResidency(bundle, sides(sides), random), randomDemand(bundle, random));
        Plan plan = placement.plan(input);
        assertEquals(List.of(), plan.unplacedModels());
        bundle.models()
                .forEach(
                        model -> assertFalse(sidesPlannedFor(plan, model.item()).isEmpty(), model.name()));
        assertFits(bundle, input, plan);
    }

    @Property(tries = 200, seed = "20261202")
    void leavingSideMovesOnlyItsOwnModelsWhileTwoCopiesFit(
            @ForAll @IntRange(min = 4, max = 24) int sides, @ForAll long seed) {
        Random random = new Random(seed);
        Bundle bundle = bundle(modelsThatFit((sides - 1) / 2, random));
        PlacementInput before = withPlanLoaded(input(bundle, sides(sides), Map.of()));
        Plan old = placement.plan(before);
        LiveSide leavingSide = before.sides().get(random.nextInt(sides));
        List<LiveSide> rest =
                before.sides().stream().filter(side -> side != leavingSide).toList();
        Plan next = placement.plan(input(bundle, rest, Map.of()));
        Set<String> moved = new HashSet<>();
        rest.forEach(side -> next.shareOf(side.id()).wantedItems().stream()
                .filter(item -> !side.residentItems().contains(item))
                .forEach(moved::add));
        assertTrue(
                old.shareOf(leavingSide.id()).wantedItems().containsAll(moved),
                () -> "moved " + moved + " but the leaving side held " + old.shareOf(leavingSide.id()));
    }

    @Property(tries = 200, seed = "20261202")
    void firstCopiesOnRemainingSidesStayWhenASideLeaves(
            @ForAll @IntRange(min = 4, max = 24) int sides, @ForAll long seed) {
        Random random = new Random(seed);
        Bundle bundle = bundle(modelsThatFit(sides - 1, random));
        PlacementInput before = withPlanLoaded(input(bundle, sides(sides), Map.of()));
        Plan old = placement.plan(before);
        List<LiveSide> rest = new ArrayList<>(before.sides());
        rest.remove(random.nextInt(sides));
        Plan next = placement.plan(input(bundle, rest, Map.of()));
        rest.forEach(side -> assertTrue(next.shareOf(side.id())
                .wantedItems()
                .containsAll(old.shareOf(side.id()).protectedItems())));
        assertEquals(List.of(), next.unplacedModels());
    }

    @Property(tries = 200, seed = "20261202")
    void residentModelIsProtectedOnExactlyOneSide(@ForAll @IntRange(min = 1, max = 12) int sides, @ForAll long seed) {
        Random random = new Random(seed);
        Bundle bundle = bundle(modelsThatFit(sides, random));
        PlacementInput input = input(bundle, withRandomResidency(bundle, sides(sides), random), Map.of());
        Plan plan = placement.plan(input);
        bundle.models().stream().map(Bundle.Model::item).forEach(item -> {
            boolean isResident =
                    input.sides().stream().anyMatch(side -> side.residentItems().contains(item));
            long protecting = plan.shares().values().stream()
                    .filter(share -> share.protectedItems().contains(item))
                    .count();
            assertEquals(isResident ? 1 : 0, protecting, item);
        });
    }

    @Test
    void baseCopiesAreInDifferentDataCentres() {
        Bundle bundle = bundle(List.of(20L, 20L, 10L));
        Plan plan = placement.plan(input(bundle, sides(6), Map.of()));
        bundle.models().forEach(model -> {
            Set<Integer> dataCentres = new HashSet<>();
            sidesPlannedFor(plan, model.item()).forEach(id -> dataCentres.add(Integer.parseInt(id.substring(5)) % 3));
            assertEquals(2, dataCentres.size(), model.name());
        });
    }

    /**
     * Guards against refusing callers of one popular model while second copies of idle models fill the memory. Three
     * sides hold every model twice and are full when demand for one model rises far above its threshold; its third copy
     * displaces second copies, and every other model keeps one copy.
     */
    @Test
    void demandDisplacesSecondCopiesOfIdleModels() {
        Bundle bundle = bundle(List.of(50L, 50L, 50L));
        String busy = bundle.models().get(0).item();
        PlacementInput full = withPlanLoaded(input(bundle, sides(3), Map.of()));
        PlacementInput underDemand = new PlacementInput(bundle, SERVICE, full.sides(), Map.of(busy, 20.0), Map.of(), 0);
        Plan plan = placement.plan(underDemand);
        RendezvousPlacement secondCopiesFirst =
                new RendezvousPlacement(THRESHOLDS, RendezvousPlacement.Precedence.SECOND_COPIES_FIRST);
        assertEquals(
                2, sidesPlannedFor(secondCopiesFirst.plan(underDemand), busy).size());
        assertEquals(3, sidesPlannedFor(plan, busy).size());
        assertEquals(List.of(), plan.unplacedModels());
    }

    /**
     * Guards against requests that wait for an adapter until their deadline while another side that holds it is idle.
     * Planned copies of models are not evicted for adapters, so second copies must not fill all memory: the adapter
     * reserve is open to first copies only.
     */
    @Test
    void secondCopiesKeepTheAdapterReserve() {
        Bundle bundle = bundle(List.of(45L, 45L));
        PlacementInput input = input(bundle, sides(2), Map.of());
        Plan withReserve =
                new RendezvousPlacement(THRESHOLDS, RendezvousPlacement.Precedence.DEMAND_FIRST, 0.2).plan(input);
        Plan withoutReserve =
                new RendezvousPlacement(THRESHOLDS, RendezvousPlacement.Precedence.DEMAND_FIRST).plan(input);
        assertEquals(4, copies(withoutReserve));
        assertTrue(copies(withReserve) < 4);
        assertEquals(List.of(), withReserve.unplacedModels());
    }

    @Test
    void demandAddsCopiesAndRemovesThemOnlyAfterTheDelay() {
        Bundle bundle = bundle(List.of(20L));
        String item = bundle.models().get(0).item();
        PlacementInput busy = input(bundle, sides(6), Map.of(item, 12.0));
        assertEquals(4, sidesPlannedFor(placement.plan(busy), item).size());
        PlacementInput lowDemand = withPlanLoaded(busy);
        lowDemand = new PlacementInput(bundle, SERVICE, lowDemand.sides(), Map.of(item, 3.5), Map.of(), 0);
        Plan duringDelay = placement.plan(lowDemand);
        assertEquals(4, sidesPlannedFor(duringDelay, item).size());
        PlacementInput later = new PlacementInput(
                bundle,
                SERVICE,
                lowDemand.sides(),
                Map.of(item, 3.5),
                duringDelay.lowDemandSinceMillis(),
                THRESHOLDS.scaleDownDelayMillis());
        assertEquals(3, sidesPlannedFor(placement.plan(later), item).size());
    }

    /**
     * Guards against evicting the last copy of an old version during a rollout, before any side serves the new version;
     * callers would find no replica.
     */
    @Test
    void oldVersionIsProtectedUntilTheNewOneIsResident() {
        Bundle bundle = bundle(List.of(20L));
        List<LiveSide> sides = new ArrayList<>(sides(3));
        sides.set(0, holding(sides.get(0), Set.of("model:m0@0")));
        Plan during = placement.plan(input(bundle, sides, Map.of()));
        assertEquals(Set.of("model:m0@0"), during.shareOf("side-0").protectedItems());
        sides.set(1, holding(sides.get(1), Set.of("model:m0@1")));
        Plan after = placement.plan(input(bundle, sides, Map.of()));
        assertEquals(Set.of(), after.shareOf("side-0").protectedItems());
    }

    @Test
    void strategiesAreFoundByName() {
        PlacementInput input = input(bundle(List.of(20L)), sides(3), Map.of("model:m0@1", 100.0));
        assertEquals(
                2,
                sidesPlannedFor(PlacementStrategy.named("static", THRESHOLDS).plan(input), "model:m0@1")
                        .size());
        assertEquals(
                3,
                sidesPlannedFor(PlacementStrategy.named("planned", THRESHOLDS).plan(input), "model:m0@1")
                        .size());
        assertEquals(
                0,
                sidesPlannedFor(
                                PlacementStrategy.named("load-on-miss", THRESHOLDS)
                                        .plan(input),
                                "model:m0@1")
                        .size());
        assertThrows(IllegalArgumentException.class, () -> PlacementStrategy.named("none", THRESHOLDS));
    }

    @Test
    void evaluationTimeAtFullSizeIsPrinted() {
        int sides = 2_400;
        Random random = new Random(1);
        Bundle bundle = bundle(random.longs(620, 5, LARGEST_BYTES).boxed().toList());
        PlacementInput input = withPlanLoaded(input(bundle, sides(sides), randomDemand(bundle, random)));
        IntStream.range(0, 10).forEach(ignored -> placement.plan(input));
        long startNanos = System.nanoTime();
        IntStream.range(0, 10).forEach(ignored -> placement.plan(input));
        System.out.printf(
                "placement: %d sides, %d models, %.1f ms per evaluation%n",
                sides, 620, (System.nanoTime() - startNanos) / 10 / 1e6);
        PlacementInput cold = input(bundle, sides(sides), Map.of());
        startNanos = System.nanoTime();
        IntStream.range(0, 10).forEach(ignored -> placement.plan(cold));
        System.out.printf("placement: with nothing resident %.1f ms%n", (System.nanoTime() - startNanos) / 10 / 1e6);
        assertFits(bundle, input, placement.plan(input));
    }

    /** Returns the input after every side has loaded its planned items. */
    private PlacementInput withPlanLoaded(PlacementInput input) {
        Plan plan = placement.plan(input);
        List<LiveSide> loaded = input.sides().stream()
                .map(side -> holding(side, Set.copyOf(plan.shareOf(side.id()).wantedItems())))
                .toList();
        return input(input.bundle(), loaded, input.demandUnitsPerSecond());
    }

    private static void assertFits(Bundle bundle, PlacementInput input, Plan plan) {
        Map<String, Long> sizes = new HashMap<>();
        bundle.models().forEach(model -> sizes.put(model.item(), model.sizeBytes()));
        input.sides().forEach(side -> {
            List<String> wanted = plan.shareOf(side.id()).wantedItems();
            long usedBytes = wanted.stream().mapToLong(sizes::get).sum();
            assertTrue(usedBytes <= side.capacityBytes(), side.id());
            assertEquals(new HashSet<>(wanted).size(), wanted.size(), side.id());
        });
    }

    // First fit always succeeds while the placed total is at most sides * (capacity - largest).
    private static List<Long> modelsThatFit(int sides, Random random) {
        List<Long> sizes = new ArrayList<>();
        long remainingBytes = sides * (CAPACITY_BYTES - LARGEST_BYTES);
        while (remainingBytes > LARGEST_BYTES) {
            long size = 1 + random.nextLong(LARGEST_BYTES);
            sizes.add(size);
            remainingBytes -= size;
        }
        return sizes;
    }

    private static List<LiveSide> withRandomResidency(Bundle bundle, List<LiveSide> sides, Random random) {
        return sides.stream()
                .map(side -> {
                    Set<String> items = new HashSet<>();
                    long freeBytes = side.capacityBytes();
                    for (int tries = 0; tries < 8; tries++) {
                        Bundle.Model model = bundle.models()
                                .get(random.nextInt(bundle.models().size()));
                        if (model.sizeBytes() <= freeBytes && items.add(model.item())) {
                            freeBytes -= model.sizeBytes();
                        }
                    }
                    return holding(side, items);
                })
                .toList();
    }

    private static Map<String, Double> randomDemand(Bundle bundle, Random random) {
        Map<String, Double> demand = new HashMap<>();
        bundle.models().forEach(model -> demand.put(model.item(), random.nextDouble() * 20));
        return demand;
    }

    private static Set<String> sidesPlannedFor(Plan plan, String item) {
        Set<String> holders = new HashSet<>();
        plan.shares().forEach((id, share) -> {
            if (share.wantedItems().contains(item)) {
                holders.add(id);
            }
        });
        return holders;
    }

    private static int copies(Plan plan) {
        return plan.shares().values().stream()
                .mapToInt(share -> share.wantedItems().size())
                .sum();
    }

    private static PlacementInput input(Bundle bundle, List<LiveSide> sides, Map<String, Double> demand) {
        return new PlacementInput(bundle, SERVICE, sides, demand, Map.of(), 0);
    }

    private static LiveSide holding(LiveSide side, Set<String> items) {
        return new LiveSide(side.id(), side.dataCentre(), side.capacityBytes(), items, Map.of());
    }

    private static List<LiveSide> sides(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> new LiveSide("side-" + index, "dc-" + index % 3, CAPACITY_BYTES, Set.of(), Map.of()))
                .toList();
    }

    private static Bundle bundle(List<Long> modelSizes) {
        List<Bundle.Model> models = IntStream.range(0, modelSizes.size())
                .mapToObj(index -> new Bundle.Model("m" + index, SERVICE, "1", modelSizes.get(index), 0))
                .toList();
        Bundle.Keys keys = new Bundle.Keys(List.of(), List.of());
        return new Bundle(1, keys, List.of(), models, List.of(), List.of());
    }
}
