package io.waxwingquay.bench.capacity;

import io.waxwingquay.bench.capacity.GossipSimulation.Traffic;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/** Measures the traffic and the propagation delay of gossip by the number of processes. */
final class GossipCosts {

    private static final List<Integer> ALL_RECORDS_PROCESSES = List.of(50, 100, 200, 400);
    private static final List<Integer> RANDOM_SEEDS_PROCESSES = List.of(50, 100, 200, 400, 800, 1_600, 2_720);
    private static final int SEED_COUNT = 60;
    private static final int ITEMS_PER_RECORD = 2;
    private static final long IDLE_MILLIS = 20_000;
    private static final long BUNDLE_INTERVAL_MILLIS = 20_000;
    private static final int CHANGE_COUNT = 20;

    private GossipCosts() {}

    static Stream<StepTable> measureAll() {
        List<StepTable> tables = new ArrayList<>();
        tables.addAll(withRandomSeeds());
        tables.addAll(withAllRecords());
        tables.add(changeBytesByItems());
        return tables.stream();
    }

    /** Measures processes that each know 60 random others and no side records. */
    private static List<StepTable> withRandomSeeds() {
        List<Measurement> measurements = RANDOM_SEEDS_PROCESSES.stream()
                .map(count ->
                        new Measurement(count, bundleFigures(GossipSimulation.withRandomSeeds(count, SEED_COUNT))))
                .toList();
        String kind = ", each knowing " + SEED_COUNT + " others";
        return List.of(
                table(
                        "idle gossip, bytes a second sent by a process" + kind,
                        measurements,
                        figures -> figures.idle.bytesPerSecond()),
                table(
                        "idle gossip, messages a second at a process" + kind,
                        measurements,
                        figures -> figures.idle.messagesPerSecond()),
                table(
                        "one bundle in 20 s, bytes a second" + kind,
                        measurements,
                        figures -> figures.bundle.bytesPerSecond()),
                table(
                        "milliseconds until all know a bundle version" + kind,
                        measurements,
                        figures -> figures.bundleMillis));
    }

    /** Measures processes that each know all others and their records. */
    private static List<StepTable> withAllRecords() {
        List<Measurement> measurements = ALL_RECORDS_PROCESSES.stream()
                .map(count -> new Measurement(
                        count,
                        recordFigures(GossipSimulation.withAllRecords(count, ITEMS_PER_RECORD), ITEMS_PER_RECORD)))
                .toList();
        String kind = ", each knowing all, " + ITEMS_PER_RECORD + " items a record";
        return List.of(
                table(
                        "idle gossip, bytes a second sent by a process" + kind,
                        measurements,
                        figures -> figures.idle.bytesPerSecond()),
                table(
                        "milliseconds until all know a bundle version" + kind,
                        measurements,
                        figures -> figures.bundleMillis),
                table(
                        "milliseconds until all know a side leaves" + kind,
                        measurements,
                        figures -> figures.leavingMillis),
                table(
                        "milliseconds until all know an ordinary change" + kind,
                        measurements,
                        figures -> figures.changeMillis),
                table(
                        "bytes a process sends for one ordinary change" + kind,
                        measurements,
                        figures -> figures.changeBytes));
    }

    private static StepTable changeBytesByItems() {
        return StepTable.measure(
                "bytes a process sends for one ordinary change among 100 processes",
                "items in the record",
                List.of(0, 4, 8, 16, 32),
                items -> recordFigures(GossipSimulation.withAllRecords(100, (int) items), (int) items).changeBytes);
    }

    /** Describes how fast state propagates after a partition of the first three data centres has healed. */
    static String partitionedRegions() {
        GossipSimulation simulation = GossipSimulation.withAllRecords(120, ITEMS_PER_RECORD);
        simulation.partition(SyntheticSides.DATA_CENTRES / 2);
        simulation.publish(0, 2, ITEMS_PER_RECORD);
        Traffic traffic = simulation.trafficDuring(120_000, () -> {});
        simulation.partition(0);
        long recordMillis = simulation.millisUntilAllHave(0, 2);
        long bundleMillis = simulation.millisToSpreadBundle();
        return "regions parted for 2 min, 120 processes: %.1f bytes/s sent a process meanwhile; after it ended a record"
                        .formatted(traffic.bytesPerSecond())
                + " changed meanwhile was known at all after " + recordMillis + " ms, a new bundle version after "
                + bundleMillis + " ms";
    }

    private static Figures bundleFigures(GossipSimulation simulation) {
        Figures figures = new Figures();
        figures.idle = Rate.of(simulation.trafficDuring(IDLE_MILLIS, () -> {}));
        figures.bundle = Rate.of(simulation.trafficDuring(
                BUNDLE_INTERVAL_MILLIS, () -> figures.bundleMillis = simulation.millisToSpreadBundle()));
        return figures;
    }

    private static Figures recordFigures(GossipSimulation simulation, int items) {
        Figures figures = bundleFigures(simulation);
        Traffic changing = simulation.trafficDuring(IDLE_MILLIS, () -> {
            for (int side = 1; side <= CHANGE_COUNT; side++) {
                simulation.publish(side, 2, items);
            }
            figures.changeMillis = simulation.millisUntilAllHave(CHANGE_COUNT, 2);
        });
        double seconds = IDLE_MILLIS / 1_000.0;
        figures.changeBytes = (changing.bytesPerSecond() - figures.idle.bytesPerSecond()) * seconds / CHANGE_COUNT;
        figures.leavingMillis = simulation.millisToSpreadLeaving(CHANGE_COUNT + 1);
        return figures;
    }

    private static StepTable table(String cost, List<Measurement> measurements, ToDoubleFunction<Figures> figure) {
        List<StepTable.Step> steps = measurements.stream()
                .map(measurement ->
                        new StepTable.Step(measurement.processes, figure.applyAsDouble(measurement.figures)))
                .toList();
        return new StepTable(cost, "processes", steps);
    }

    private record Measurement(int processes, Figures figures) {}

    private record Rate(double bytesPerSecond, double messagesPerSecond) {

        static Rate of(Traffic traffic) {
            return new Rate(traffic.bytesPerSecond(), traffic.messagesPerSecond());
        }
    }

    private static final class Figures {

        private Rate idle;
        private Rate bundle;
        private double bundleMillis;
        private double leavingMillis;
        private double changeMillis;
        private double changeBytes;
    }
}
