package io.waxwingquay.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

/** Assigns copies of items to sides while one plan is computed, and tracks the memory that is left on each side. */
final class PlanBuilder {

    private static final int NO_SIDE = -1;

    private final List<PlacementInput.LiveSide> sides;
    private final long[] sideHashes;
    private final double[] weights;
    private final int[] dataCentres;
    private final long[] freeBytes;
    private final long[] adapterReserveBytes;
    private final List<List<String>> wantedItems = new ArrayList<>();
    private final List<List<PlanItem>> secondCopies = new ArrayList<>();
    private final List<Set<String>> protectedItems = new ArrayList<>();
    private final Map<String, List<Integer>> residentSides = new HashMap<>();

    PlanBuilder(List<PlacementInput.LiveSide> sides, double adapterMemoryShare) {
        this.sides = sides;
        this.adapterReserveBytes = sides.stream()
                .mapToLong(side -> Math.round(side.capacityBytes() * adapterMemoryShare))
                .toArray();
        this.sideHashes =
                sides.stream().mapToLong(side -> RendezvousHash.hash(side.id())).toArray();
        this.weights = sides.stream()
                .mapToDouble(PlacementInput.LiveSide::capacityBytes)
                .toArray();
        List<String> dataCentreNames = sides.stream()
                .map(PlacementInput.LiveSide::dataCentre)
                .distinct()
                .toList();
        this.dataCentres = sides.stream()
                .mapToInt(side -> dataCentreNames.indexOf(side.dataCentre()))
                .toArray();
        this.freeBytes =
                sides.stream().mapToLong(PlacementInput.LiveSide::capacityBytes).toArray();
        for (int index = 0; index < sides.size(); index++) {
            wantedItems.add(new ArrayList<>());
            secondCopies.add(new ArrayList<>());
            protectedItems.add(new HashSet<>());
            int at = index;
            sides.get(index).residentItems().forEach(name -> residentSides
                    .computeIfAbsent(name, key -> new ArrayList<>())
                    .add(at));
        }
    }

    PlanItem item(String name, long sizeBytes) {
        long hash = RendezvousHash.hash(name);
        List<Scored> scored = new ArrayList<>();
        residentSides.getOrDefault(name, List.of()).forEach(index -> scored.add(new Scored(index, score(hash, index))));
        scored.sort(Comparator.comparingDouble(Scored::score).reversed().thenComparingInt(Scored::index));
        List<Integer> rankedSides = scored.stream().map(Scored::index).toList();
        return new PlanItem(name, sizeBytes, rankedSides);
    }

    Set<String> residentNames() {
        return residentSides.keySet();
    }

    boolean isResident(String name) {
        return residentSides.containsKey(name);
    }

    int plannedCopies(PlanItem item) {
        return item.plannedSides.cardinality();
    }

    void protect(PlanItem item) {
        item.residentSides.stream()
                .limit(1)
                .forEach(index -> protectedItems.get(index).add(item.name));
    }

    /** Protects the best resident copy of an item that is no longer wanted, and counts its memory as taken. */
    void protectOldVersion(PlanItem item) {
        protect(item);
        item.residentSides.stream().limit(1).forEach(index -> freeBytes[index] -= item.sizeBytes);
    }

    /** Plans the best resident copy and protects it. */
    void retainFirstCopy(PlanItem item) {
        protect(item);
        item.residentSides.stream().limit(1).filter(index -> fits(item, index)).forEach(index -> place(item, index));
    }

    /** Plans the second copy on a side where it is resident, in another data centre than the first. */
    void retainSecondCopy(PlanItem item) {
        if (plannedCopies(item) != 1) {
            return;
        }
        int firstDataCentre = dataCentres[item.plannedSides.nextSetBit(0)];
        item.residentSides.stream()
                .filter(index ->
                        dataCentres[index] != firstDataCentre && fits(item, index) && keepsAdapterReserve(item, index))
                .findFirst()
                .ifPresent(index -> {
                    place(item, index);
                    secondCopies.get(index).add(item);
                });
    }

    /**
     * Plans a first copy if there is none; where no side has enough free memory, second copies of other items are
     * displaced.
     */
    void placeFirstCopy(PlanItem item) {
        if (plannedCopies(item) > 0 || placeBest(item, index -> true)) {
            return;
        }
        int best = NO_SIDE;
        for (int index = 0; index < sides.size(); index++) {
            boolean hasRoom = item.sizeBytes <= freeBytes[index] + secondCopiesBytes(index);
            if (hasRoom && (best == NO_SIDE || score(item.hash, index) > score(item.hash, best))) {
                best = index;
            }
        }
        if (best != NO_SIDE) {
            displaceSecondCopies(item, best);
            place(item, best);
        }
    }

    /** Plans a second copy, in another data centre if one has enough free memory. */
    void placeSecondCopy(PlanItem item) {
        if (plannedCopies(item) != 1) {
            return;
        }
        int firstDataCentre = dataCentres[item.plannedSides.nextSetBit(0)];
        if (!placeBest(item, index -> dataCentres[index] != firstDataCentre && keepsAdapterReserve(item, index))) {
            placeBest(item, index -> keepsAdapterReserve(item, index));
        }
    }

    /** Plans further copies up to a number, while memory lasts. */
    void placeCopies(PlanItem item, int copies) {
        boolean isPlaced = true;
        while (isPlaced && plannedCopies(item) < copies) {
            isPlaced = placeBest(item, index -> keepsAdapterReserve(item, index));
        }
    }

    /** Plans copies of an adapter on sides where its model is planned. */
    void placeAdapter(PlanItem item, PlanItem model, int copies) {
        boolean isPlaced = true;
        while (isPlaced && plannedCopies(item) < copies) {
            isPlaced = placeBest(item, model.plannedSides::get);
        }
    }

    Map<String, Plan.Share> shares() {
        Map<String, Plan.Share> shares = new HashMap<>();
        for (int index = 0; index < sides.size(); index++) {
            shares.put(
                    sides.get(index).id(),
                    new Plan.Share(List.copyOf(wantedItems.get(index)), Set.copyOf(protectedItems.get(index))));
        }
        return Map.copyOf(shares);
    }

    private long secondCopiesBytes(int index) {
        return secondCopies.get(index).stream()
                .mapToLong(second -> second.sizeBytes)
                .sum();
    }

    /** Displaces the copies retained last, which are the least important. */
    private void displaceSecondCopies(PlanItem item, int index) {
        List<PlanItem> candidates = secondCopies.get(index);
        while (item.sizeBytes > freeBytes[index]) {
            PlanItem displaced = candidates.remove(candidates.size() - 1);
            displaced.plannedSides.clear(index);
            freeBytes[index] += displaced.sizeBytes;
            wantedItems.get(index).remove(displaced.name);
        }
    }

    /** Prefers a side where the item is resident, so that nothing moves without need. */
    private boolean placeBest(PlanItem item, IntPredicate isEligible) {
        int best = item.residentSides.stream()
                .mapToInt(index -> index)
                .filter(isEligible)
                .filter(index -> fits(item, index))
                .findFirst()
                .orElseGet(() -> bestByScore(item, isEligible));
        if (best == NO_SIDE) {
            return false;
        }
        place(item, best);
        return true;
    }

    private int bestByScore(PlanItem item, IntPredicate isEligible) {
        int best = NO_SIDE;
        double bestUniform = 0;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (int index = 0; index < sides.size(); index++) {
            double uniform = RendezvousHash.uniform(item.hash, sideHashes[index]);
            // The logarithm dominates the cost of a score; a side that is no better in either factor cannot win.
            boolean cannotWin = best != NO_SIDE && uniform <= bestUniform && weights[index] <= weights[best];
            if (cannotWin || !fits(item, index) || !isEligible.test(index)) {
                continue;
            }
            double score = RendezvousHash.score(uniform, weights[index]);
            if (score > bestScore) {
                best = index;
                bestUniform = uniform;
                bestScore = score;
            }
        }
        return best;
    }

    private boolean fits(PlanItem item, int index) {
        return item.sizeBytes <= freeBytes[index] && !item.plannedSides.get(index);
    }

    /**
     * Returns whether the adapter reserve stays free. Planned copies of models are not evicted for an adapter, so where
     * they fill the memory a request waits for its adapter until its deadline. Only first copies may therefore use the
     * reserve.
     */
    private boolean keepsAdapterReserve(PlanItem item, int index) {
        return freeBytes[index] - item.sizeBytes >= adapterReserveBytes[index];
    }

    private void place(PlanItem item, int index) {
        item.plannedSides.set(index);
        freeBytes[index] -= item.sizeBytes;
        wantedItems.get(index).add(item.name);
    }

    private double score(long itemHash, int index) {
        return RendezvousHash.score(RendezvousHash.uniform(itemHash, sideHashes[index]), weights[index]);
    }

    /** A side's score for one item, computed once instead of at each comparison. */
    private record Scored(int index, double score) {}
}
