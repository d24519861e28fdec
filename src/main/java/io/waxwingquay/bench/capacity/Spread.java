package io.waxwingquay.bench.capacity;

import io.waxwingquay.bench.capacity.GossipField.Traffic;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/** Traffic and delay of gossip, by the number of processes. */
final class Spread {

    private static final List<Integer> ACQUAINTED = List.of(50, 100, 200, 400);
    private static final List<Integer> STRANGERS = List.of(50, 100, 200, 400, 800, 1_600, 2_720);
    private static final int KNOWN = 60;
    private static final int FEW_ITEMS = 2;
    private static final long IDLE_MILLIS = 20_000;
    private static final long BETWEEN_BUNDLES_MILLIS = 20_000;
    private static final int CHANGES = 20;

    private Spread() {}

    static Stream<StepTable> all() {
        List<StepTable> tables = new ArrayList<>();
        tables.addAll(amongStrangers());
        tables.addAll(amongAcquainted());
        tables.add(changeBytesByItems());
        return tables.stream();
    }

    /** Processes that know 60 others at random and no side records. */
    private static List<StepTable> amongStrangers() {
        List<Field> fields = STRANGERS.stream()
                .map(count -> new Field(count, bundleFigures(GossipField.ofStrangers(count, KNOWN))))
                .toList();
        String kind = ", each knowing " + KNOWN + " others";
        return List.of(
                table("idle gossip, bytes a second sent by a process" + kind, fields, found -> found.idle.bytes()),
                table("idle gossip, messages a second at a process" + kind, fields, found -> found.idle.messages()),
                table("one bundle in 20 s, bytes a second" + kind, fields, found -> found.bundle.bytes()),
                table("milliseconds until all know a bundle version" + kind, fields, found -> found.bundleMillis));
    }

    /** Processes that know all others and their records. */
    private static List<StepTable> amongAcquainted() {
        List<Field> fields = ACQUAINTED.stream()
                .map(count -> new Field(count, recordFigures(GossipField.ofAcquainted(count, FEW_ITEMS), FEW_ITEMS)))
                .toList();
        String kind = ", each knowing all, " + FEW_ITEMS + " items a record";
        return List.of(
                table("idle gossip, bytes a second sent by a process" + kind, fields, found -> found.idle.bytes()),
                table("milliseconds until all know a bundle version" + kind, fields, found -> found.bundleMillis),
                table("milliseconds until all know a side leaves" + kind, fields, found -> found.leavingMillis),
                table("milliseconds until all know an ordinary change" + kind, fields, found -> found.changeMillis),
                table("bytes a process sends for one ordinary change" + kind, fields, found -> found.changeBytes));
    }

    private static StepTable changeBytesByItems() {
        return StepTable.measure(
                "bytes a process sends for one ordinary change among 100 processes",
                "items in the record",
                List.of(0, 4, 8, 16, 32),
                items -> recordFigures(GossipField.ofAcquainted(100, (int) items), (int) items).changeBytes);
    }

    /** How long a cut of the first three data centres is still felt after it ends, for the page. */
    static String partedRegions() {
        GossipField field = GossipField.ofAcquainted(120, FEW_ITEMS);
        field.cutOff(Sides.DATA_CENTRES / 2);
        field.publish(0, 2, FEW_ITEMS);
        Traffic traffic = field.trafficDuring(120_000, () -> {});
        field.cutOff(0);
        long recordMillis = field.millisUntilAllHave(0, 2);
        long bundleMillis = field.millisToSpreadBundle();
        return "regions parted for 2 min, 120 processes: %.1f bytes/s sent a process meanwhile; after it ended a record"
                        .formatted(traffic.bytesPerSecond())
                + " changed meanwhile was known at all after " + recordMillis + " ms, a new bundle version after "
                + bundleMillis + " ms";
    }

    private static Figures bundleFigures(GossipField field) {
        Figures figures = new Figures();
        figures.idle = Rate.of(field.trafficDuring(IDLE_MILLIS, () -> {}));
        figures.bundle = Rate.of(
                field.trafficDuring(BETWEEN_BUNDLES_MILLIS, () -> figures.bundleMillis = field.millisToSpreadBundle()));
        return figures;
    }

    private static Figures recordFigures(GossipField field, int items) {
        Figures figures = bundleFigures(field);
        Traffic changing = field.trafficDuring(IDLE_MILLIS, () -> {
            for (int side = 1; side <= CHANGES; side++) {
                field.publish(side, 2, items);
            }
            figures.changeMillis = field.millisUntilAllHave(CHANGES, 2);
        });
        double seconds = IDLE_MILLIS / 1_000.0;
        figures.changeBytes = (changing.bytesPerSecond() - figures.idle.bytes()) * seconds / CHANGES;
        figures.leavingMillis = field.millisToSpreadLeaving(CHANGES + 1);
        return figures;
    }

    private static StepTable table(String cost, List<Field> fields, ToDoubleFunction<Figures> figure) {
        List<StepTable.Step> steps = fields.stream()
                .map(field -> new StepTable.Step(field.processes, figure.applyAsDouble(field.figures)))
                .toList();
        return new StepTable(cost, "processes", steps);
    }

    private record Field(int processes, Figures figures) {}

    private record Rate(double bytes, double messages) {

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
