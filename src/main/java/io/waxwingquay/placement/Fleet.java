package io.waxwingquay.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

/** The sides' memory while one plan is drawn up. */
final class Fleet {

    private static final int NONE = -1;

    private final List<PlacementInput.LiveSide> sides;
    private final long[] hashes;
    private final double[] weights;
    private final int[] dataCentres;
    private final long[] freeBytes;
    private final long[] adapterBytes;
    private final List<List<String>> wanted = new ArrayList<>();
    private final List<List<Item>> seconds = new ArrayList<>();
    private final List<Set<String>> guarded = new ArrayList<>();
    private final Map<String, List<Integer>> residentAt = new HashMap<>();

    Fleet(List<PlacementInput.LiveSide> sides, double adapterShare) {
        this.sides = sides;
        this.adapterBytes = sides.stream()
                .mapToLong(side -> Math.round(side.capacityBytes() * adapterShare))
                .toArray();
        this.hashes = sides.stream().mapToLong(side -> Rank.hash(side.id())).toArray();
        this.weights = sides.stream()
                .mapToDouble(PlacementInput.LiveSide::capacityBytes)
                .toArray();
        List<String> names = sides.stream()
                .map(PlacementInput.LiveSide::dataCentre)
                .distinct()
                .toList();
        this.dataCentres = sides.stream()
                .mapToInt(side -> names.indexOf(side.dataCentre()))
                .toArray();
        this.freeBytes =
                sides.stream().mapToLong(PlacementInput.LiveSide::capacityBytes).toArray();
        for (int index = 0; index < sides.size(); index++) {
            wanted.add(new ArrayList<>());
            seconds.add(new ArrayList<>());
            guarded.add(new HashSet<>());
            int at = index;
            sides.get(index).residentItems().forEach(name -> residentAt
                    .computeIfAbsent(name, key -> new ArrayList<>())
                    .add(at));
        }
    }

    Item item(String name, long sizeBytes) {
        long hash = Rank.hash(name);
        List<Scored> scored = new ArrayList<>();
        residentAt.getOrDefault(name, List.of()).forEach(index -> scored.add(new Scored(index, score(hash, index))));
        scored.sort(Comparator.comparingDouble(Scored::score).reversed().thenComparingInt(Scored::index));
        List<Integer> at = scored.stream().map(Scored::index).toList();
        return new Item(name, sizeBytes, at);
    }

    Set<String> residentNames() {
        return residentAt.keySet();
    }

    boolean isResident(String name) {
        return residentAt.containsKey(name);
    }

    int copies(Item item) {
        return item.plannedAt.cardinality();
    }

    void protect(Item item) {
        item.residentAt.stream().limit(1).forEach(index -> guarded.get(index).add(item.name));
    }

    /** Protects the best resident copy of an item that is no longer wanted, and counts its memory as taken. */
    void guard(Item item) {
        protect(item);
        item.residentAt.stream().limit(1).forEach(index -> freeBytes[index] -= item.sizeBytes);
    }

    /** Plans the best resident copy and protects it. */
    void keepFirst(Item item) {
        protect(item);
        item.residentAt.stream().limit(1).filter(index -> fits(item, index)).forEach(index -> place(item, index));
    }

    /** Plans a second copy where it is resident in another data centre than the first. */
    void keepSecond(Item item) {
        if (copies(item) != 1) {
            return;
        }
        int home = dataCentres[item.plannedAt.nextSetBit(0)];
        item.residentAt.stream()
                .filter(index -> dataCentres[index] != home && fits(item, index) && leavesRoom(item, index))
                .findFirst()
                .ifPresent(index -> {
                    place(item, index);
                    seconds.get(index).add(item);
                });
    }

    /** Plans a first copy if there is none; where nothing is free, second copies of others make room. */
    void placeFirst(Item item) {
        if (copies(item) > 0 || placeBest(item, index -> true)) {
            return;
        }
        int best = NONE;
        for (int index = 0; index < sides.size(); index++) {
            boolean hasRoom = item.sizeBytes <= freeBytes[index] + secondsBytes(index);
            if (hasRoom && (best == NONE || score(item.hash, index) > score(item.hash, best))) {
                best = index;
            }
        }
        if (best != NONE) {
            displaceSeconds(item, best);
            place(item, best);
        }
    }

    /** Plans a second copy, in another data centre where room allows. */
    void placeElsewhere(Item item) {
        if (copies(item) != 1) {
            return;
        }
        int home = dataCentres[item.plannedAt.nextSetBit(0)];
        if (!placeBest(item, index -> dataCentres[index] != home && leavesRoom(item, index))) {
            placeBest(item, index -> leavesRoom(item, index));
        }
    }

    /** Plans copies up to a number, while there is room. */
    void placeUpTo(Item item, int copies) {
        boolean isPlaced = true;
        while (isPlaced && copies(item) < copies) {
            isPlaced = placeBest(item, index -> leavesRoom(item, index));
        }
    }

    /** Plans copies of an adapter on sides where its model is planned. */
    void placeBeside(Item item, Item model, int copies) {
        boolean isPlaced = true;
        while (isPlaced && copies(item) < copies) {
            isPlaced = placeBest(item, model.plannedAt::get);
        }
    }

    Map<String, Plan.Share> shares() {
        Map<String, Plan.Share> shares = new HashMap<>();
        for (int index = 0; index < sides.size(); index++) {
            shares.put(
                    sides.get(index).id(),
                    new Plan.Share(List.copyOf(wanted.get(index)), Set.copyOf(guarded.get(index))));
        }
        return Map.copyOf(shares);
    }

    private long secondsBytes(int index) {
        return seconds.get(index).stream().mapToLong(second -> second.sizeBytes).sum();
    }

    /** The last kept is the least important. */
    private void displaceSeconds(Item item, int index) {
        List<Item> kept = seconds.get(index);
        while (item.sizeBytes > freeBytes[index]) {
            Item displaced = kept.remove(kept.size() - 1);
            displaced.plannedAt.clear(index);
            freeBytes[index] += displaced.sizeBytes;
            wanted.get(index).remove(displaced.name);
        }
    }

    /** A resident copy goes before any other, so that nothing moves without need. */
    private boolean placeBest(Item item, IntPredicate mayHold) {
        int best = item.residentAt.stream()
                .mapToInt(index -> index)
                .filter(mayHold)
                .filter(index -> fits(item, index))
                .findFirst()
                .orElseGet(() -> bestByRank(item, mayHold));
        if (best == NONE) {
            return false;
        }
        place(item, best);
        return true;
    }

    private int bestByRank(Item item, IntPredicate mayHold) {
        int best = NONE;
        double bestUniform = 0;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (int index = 0; index < sides.size(); index++) {
            double uniform = Rank.uniform(item.hash, hashes[index]);
            // The logarithm is the cost of a rank, and a side that is behind in both parts cannot win.
            boolean isBehind = best != NONE && uniform <= bestUniform && weights[index] <= weights[best];
            if (isBehind || !fits(item, index) || !mayHold.test(index)) {
                continue;
            }
            double score = Rank.score(uniform, weights[index]);
            if (score > bestScore) {
                best = index;
                bestUniform = uniform;
                bestScore = score;
            }
        }
        return best;
    }

    private boolean fits(Item item, int index) {
        return item.sizeBytes <= freeBytes[index] && !item.plannedAt.get(index);
    }

    /**
     * A request waits for an adapter until its deadline where planned copies of models fill the memory, because
     * what is planned is not evicted for it. So only first copies may take the last of the memory.
     */
    private boolean leavesRoom(Item item, int index) {
        return freeBytes[index] - item.sizeBytes >= adapterBytes[index];
    }

    private void place(Item item, int index) {
        item.plannedAt.set(index);
        freeBytes[index] -= item.sizeBytes;
        wanted.get(index).add(item.name);
    }

    private double score(long itemHash, int index) {
        return Rank.score(Rank.uniform(itemHash, hashes[index]), weights[index]);
    }

    /** A side's rank for one item, worked out once and not at each comparison. */
    private record Scored(int index, double score) {}
}
