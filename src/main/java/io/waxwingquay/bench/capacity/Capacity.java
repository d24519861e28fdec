package io.waxwingquay.bench.capacity;

import java.io.PrintWriter;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Measures costs at rising sizes and prints, for each cost, the measurements, the line fitted to them and its error.
 */
public final class Capacity {

    private final PrintWriter out;

    /**
     * Creates a measurement run.
     *
     * @param out receives the tables.
     */
    public Capacity(PrintWriter out) {
        this.out = out;
    }

    /**
     * Runs one part of the measurements, or all of them.
     *
     * @param part the part to run.
     */
    public void run(Part part) {
        for (Part each : part == Part.ALL ? List.of(Part.values()) : List.of(part)) {
            each.tables.get().forEach(this::print);
        }
        if (part == Part.ALL || part == Part.GOSSIP) {
            out.println("\n" + GossipCosts.partitionedRegions());
        }
        out.flush();
    }

    private void print(StepTable table) {
        out.print(table.toMarkdown());
        out.flush();
    }

    /** A part of the measurements. */
    public enum Part {
        /** All parts. */
        ALL(Stream::of),
        /** Sizes of records, heap and processor time. */
        COSTS(Costs::measureAll),
        /** Traffic and propagation delay of gossip. */
        GOSSIP(GossipCosts::measureAll),
        /** Load that claims put on the table service. */
        TABLE(TableLoad::measureAll),
        /** Size of bundle documents and the time to read them. */
        BUNDLES(BundleSizes::measureAll);

        private final Supplier<Stream<StepTable>> tables;

        Part(Supplier<Stream<StepTable>> tables) {
            this.tables = tables;
        }
    }
}
