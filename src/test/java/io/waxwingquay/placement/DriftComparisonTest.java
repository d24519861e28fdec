package io.waxwingquay.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.placement.PlacementInput.LiveSide;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The strategies beside each other on one drifting demand, each step a minute; a sketch of sides, not the real ones. */
class DriftComparisonTest {

    private static final int SIDES = 13;
    private static final int MODELS = 30;
    private static final int MINUTES = 240;
    private static final long CAPACITY_BYTES = 100;
    private static final int REQUESTS_A_SIDE = 12;
    private static final DemandThresholds MARKS = new DemandThresholds(6, 2, 5 * 60_000);

    @Test
    void underDriftThePlanKeepsEveryModelReachableAndServesMore() {
        Outcome planned = run(PlacementStrategy.named("planned", MARKS));
        Outcome fixed = run(PlacementStrategy.named("static", MARKS));
        Outcome onMiss = run(PlacementStrategy.named("load-on-miss", MARKS));
        System.out.printf("placement drift: planned %s, static %s, load-on-miss %s%n", planned, fixed, onMiss);
        assertEquals(0, planned.absentModelMinutes());
        assertEquals(0, fixed.absentModelMinutes());
        assertTrue(planned.served() > fixed.served());
        assertTrue(planned.served() > onMiss.served());
    }

    private static Outcome run(PlacementStrategy strategy) {
        Random random = new Random(5);
        Bundle bundle = bundle(new Random(3));
        List<SketchSide> sides =
                IntStream.range(0, SIDES).mapToObj(SketchSide::new).toList();
        Plan plan = Plan.EMPTY;
        Outcome outcome = new Outcome(0, 0, 0, 0);
        for (int minute = 0; minute < MINUTES; minute++) {
            Map<String, Double> total = new HashMap<>();
            sides.forEach(side -> side.demand.forEach((item, units) -> total.merge(item, units, Double::sum)));
            List<LiveSide> holders = sides.stream().map(SketchSide::holder).toList();
            plan = strategy.plan(new PlacementInput(
                    bundle, "models", holders, total, plan.lowDemandSinceMillis(), minute * 60_000L));
            int moves = 0;
            for (SketchSide side : sides) {
                moves += side.follow(plan.shareOf(side.id()), bundle);
            }
            // The first minutes fill empty sides, which every strategy must.
            Outcome minuteOutcome = serve(bundle, sides, minute, random);
            if (minute >= 10) {
                outcome = outcome.plus(minuteOutcome).plus(new Outcome(0, 0, moves, 0));
            }
        }
        return outcome;
    }

    private static Outcome serve(Bundle bundle, List<SketchSide> sides, int minute, Random random) {
        sides.forEach(SketchSide::startMinute);
        int asked = 0;
        int served = 0;
        int absent = 0;
        for (int index = 0; index < MODELS; index++) {
            String item = bundle.models().get(index).item();
            boolean isResident = sides.stream().anyMatch(side -> side.resident.contains(item));
            absent += isResident ? 0 : 1;
            int requests = requests(index, minute, random);
            for (int request = 0; request < requests; request++) {
                Optional<SketchSide> side = sides.stream()
                        .filter(candidate -> candidate.resident.contains(item))
                        .min(Comparator.comparingInt(candidate -> candidate.load));
                SketchSide asking = side.orElseGet(() -> sides.get(random.nextInt(SIDES)));
                asking.seen.merge(item, 1.0, Double::sum);
                asked++;
                if (side.isPresent() && asking.load < REQUESTS_A_SIDE) {
                    asking.load++;
                    served++;
                }
            }
        }
        sides.forEach(SketchSide::endMinute);
        return new Outcome(asked, served, 0, absent);
    }

    /** A peak that moves over the models once in the run, over a base of about one request in two minutes. */
    private static int requests(int model, int minute, Random random) {
        double distance = model - MODELS * (double) minute / MINUTES;
        double peak = 24 * Math.exp(-distance * distance / 4);
        return (int) Math.floor(0.5 + peak + random.nextDouble());
    }

    private static Bundle bundle(Random random) {
        List<Bundle.Model> models = IntStream.range(0, MODELS)
                .mapToObj(index -> new Bundle.Model("m" + index, "models", "1", 10 + random.nextInt(20), 0))
                .toList();
        Bundle.Keys keys = new Bundle.Keys(List.of(), List.of());
        return new Bundle(1, keys, List.of(), models, List.of(), List.of());
    }

    private record Outcome(int asked, int served, int moves, int absentModelMinutes) {

        Outcome plus(Outcome other) {
            return new Outcome(
                    asked + other.asked,
                    served + other.served,
                    moves + other.moves,
                    absentModelMinutes + other.absentModelMinutes);
        }
    }

    private static final class SketchSide {

        private final int index;
        private final Set<String> resident = new HashSet<>();
        private final Map<String, Double> demand = new HashMap<>();
        private final Map<String, Double> seen = new HashMap<>();
        private int load;

        private SketchSide(int index) {
            this.index = index;
        }

        private String id() {
            return "side-" + index;
        }

        private LiveSide holder() {
            return new LiveSide(id(), "dc-" + index % 3, CAPACITY_BYTES, Set.copyOf(resident), Map.copyOf(demand));
        }

        /** Loads what is wanted and evicts only for room; counts both. */
        private int follow(Plan.Share share, Bundle bundle) {
            Map<String, Long> sizes = new HashMap<>();
            bundle.models().forEach(model -> sizes.put(model.item(), model.sizeBytes()));
            int moves = 0;
            for (String item : share.wantedItems()) {
                if (resident.contains(item)) {
                    continue;
                }
                List<String> idle = new ArrayList<>(resident);
                idle.removeAll(share.wantedItems());
                idle.removeAll(share.protectedItems());
                idle.sort(Comparator.comparingDouble((String held) -> demand.getOrDefault(held, 0.0))
                        .thenComparing(Comparator.naturalOrder()));
                long freeBytes =
                        CAPACITY_BYTES - resident.stream().mapToLong(sizes::get).sum();
                while (freeBytes < sizes.get(item) && !idle.isEmpty()) {
                    String evicted = idle.remove(0);
                    resident.remove(evicted);
                    freeBytes += sizes.get(evicted);
                    moves++;
                }
                if (freeBytes >= sizes.get(item)) {
                    resident.add(item);
                    moves++;
                }
            }
            return moves;
        }

        private void startMinute() {
            load = 0;
            seen.clear();
        }

        private void endMinute() {
            demand.replaceAll((item, units) -> units / 2);
            seen.forEach((item, count) -> demand.merge(item, count / 2, Double::sum));
            demand.values().removeIf(units -> units < 0.01);
        }
    }
}
