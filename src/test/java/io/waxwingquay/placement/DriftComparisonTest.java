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

/** Compares the placement strategies under one drifting demand, in steps of a minute, on simplified simulated sides. */
class DriftComparisonTest {

    private static final int SIDES = 13;
    private static final int MODELS = 30;
    private static final int MINUTES = 240;
    private static final long CAPACITY_BYTES = 100;
    private static final int REQUESTS_PER_SIDE = 12;
    private static final DemandThresholds THRESHOLDS = new DemandThresholds(6, 2, 5 * 60_000);

    @Test
    void plannedPlacementKeepsEveryModelResidentAndServesMoreUnderDrift() {
        Outcome planned = run(PlacementStrategy.named("planned", THRESHOLDS));
        Outcome fixed = run(PlacementStrategy.named("static", THRESHOLDS));
        Outcome onMiss = run(PlacementStrategy.named("load-on-miss", THRESHOLDS));
        System.out.printf("placement drift: planned %s, static %s, load-on-miss %s%n", planned, fixed, onMiss);
        assertEquals(0, planned.absentModelMinutes());
        assertEquals(0, fixed.absentModelMinutes());
        assertTrue(planned.served() > fixed.served());
        assertTrue(planned.served() > onMiss.served());
    }

    private static Outcome run(PlacementStrategy strategy) {
        Random random = new Random(5);
        Bundle bundle = bundle(new Random(3));
        List<SimulatedSide> sides =
                IntStream.range(0, SIDES).mapToObj(SimulatedSide::new).toList();
        Plan plan = Plan.EMPTY;
        Outcome outcome = new Outcome(0, 0, 0, 0);
        for (int minute = 0; minute < MINUTES; minute++) {
            Map<String, Double> total = new HashMap<>();
            sides.forEach(side -> side.demand.forEach((item, units) -> total.merge(item, units, Double::sum)));
            List<LiveSide> liveSides =
                    sides.stream().map(SimulatedSide::liveSide).toList();
            plan = strategy.plan(new PlacementInput(
                    bundle, "models", liveSides, total, plan.lowDemandSinceMillis(), minute * 60_000L));
            int moves = 0;
            for (SimulatedSide side : sides) {
                moves += side.apply(plan.shareOf(side.id()), bundle);
            }
            // Excludes the first minutes, in which every strategy fills empty sides.
            Outcome minuteOutcome = serve(bundle, sides, minute, random);
            if (minute >= 10) {
                outcome = outcome.plus(minuteOutcome).plus(new Outcome(0, 0, moves, 0));
            }
        }
        return outcome;
    }

    private static Outcome serve(Bundle bundle, List<SimulatedSide> sides, int minute, Random random) {
        sides.forEach(SimulatedSide::startMinute);
        int requested = 0;
        int served = 0;
        int absent = 0;
        for (int index = 0; index < MODELS; index++) {
            String item = bundle.models().get(index).item();
            boolean isResident = sides.stream().anyMatch(side -> side.resident.contains(item));
            absent += isResident ? 0 : 1;
            int requests = requests(index, minute, random);
            for (int request = 0; request < requests; request++) {
                Optional<SimulatedSide> side = sides.stream()
                        .filter(candidate -> candidate.resident.contains(item))
                        .min(Comparator.comparingInt(candidate -> candidate.load));
                SimulatedSide chosen = side.orElseGet(() -> sides.get(random.nextInt(SIDES)));
                chosen.requestsThisMinute.merge(item, 1.0, Double::sum);
                requested++;
                if (side.isPresent() && chosen.load < REQUESTS_PER_SIDE) {
                    chosen.load++;
                    served++;
                }
            }
        }
        sides.forEach(SimulatedSide::endMinute);
        return new Outcome(requested, served, 0, absent);
    }

    /** A peak that passes over all models once during the run, above a base of about one request in two minutes. */
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

    private record Outcome(int requested, int served, int moves, int absentModelMinutes) {

        Outcome plus(Outcome other) {
            return new Outcome(
                    requested + other.requested,
                    served + other.served,
                    moves + other.moves,
                    absentModelMinutes + other.absentModelMinutes);
        }
    }

    private static final class SimulatedSide {

        private final int index;
        private final Set<String> resident = new HashSet<>();
        private final Map<String, Double> demand = new HashMap<>();
        private final Map<String, Double> requestsThisMinute = new HashMap<>();
        private int load;

        private SimulatedSide(int index) {
            this.index = index;
        }

        private String id() {
            return "side-" + index;
        }

        private LiveSide liveSide() {
            return new LiveSide(id(), "dc-" + index % 3, CAPACITY_BYTES, Set.copyOf(resident), Map.copyOf(demand));
        }

        /** Loads wanted items and evicts only to free memory; returns the number of loads and evictions. */
        private int apply(Plan.Share share, Bundle bundle) {
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
            requestsThisMinute.clear();
        }

        private void endMinute() {
            demand.replaceAll((item, units) -> units / 2);
            requestsThisMinute.forEach((item, count) -> demand.merge(item, count / 2, Double::sum));
            demand.values().removeIf(units -> units < 0.01);
        }
    }
}
